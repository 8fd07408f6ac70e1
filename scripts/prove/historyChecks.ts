import { checkHistory, defaultHistoryBounds, type RuleName } from "../../src/events/historyChecker.js";
import { mergeTimeline } from "../../src/events/mergeTimeline.js";
import { testAccounts } from "../../test/fakes/fleetDocument.js";
import type { TargetEvidence } from "./evidence.js";
import type { Breach, PointNumber } from "./point.js";
import type { ProofRun } from "./proofRun.js";

const pointOfRule: Readonly<Record<RuleName, PointNumber>> = {
    "bounded-gap": 1,
    "no-starvation": 2,
    "cold-limit": 3,
    "no-start-after-closure": 4,
    "whole-answers": 5,
    "not-run-is-true": 6,
    "at-most-once": 7,
    "planned-stop": 9,
    "document-offset": 10,
};

const eventsShown = 6;

/** Merges what all daemons and stand-ins recorded and lets the product's own checker read it. */
export function checkEvents(run: ProofRun, evidence: TargetEvidence): readonly Breach[] {
    const timeline = mergeTimeline([run.observer.listEvents(), evidence.events]);
    const weights = Object.fromEntries(testAccounts.map(account => [account.name, account.weight]));
    const breaches = checkHistory(timeline, { ...defaultHistoryBounds, weights, isolations: run.isolations });
    const lost = timeline.gaps.reduce((sum, gap) => sum + gap.lastSequence - gap.firstSequence + 1, 0);
    console.log(`    history: ${timeline.events.length} events, ${lost} lost with killed processes or rings`);
    return breaches.map(breach => ({
        point: pointOfRule[breach.rule],
        evidence: `${breach.rule}: ${breach.detail}; ${breach.events
            .slice(0, eventsShown)
            .map(event => `${event.daemon} ${event.kind} ${event.reason ?? ""} ${event.time.wallMs}`)
            .join(", ")}`,
    }));
}
