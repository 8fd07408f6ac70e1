import type { FleetEvent } from "../fleetEvent.js";
import { addTo, type History, type HistoryBreach } from "./history.js";

/** Nothing starts at a target from its bound after its agent's leaving, being drained or out, until it serves again. */
export function checkClosures(history: History): readonly HistoryBreach[] {
    return [...listByTarget(history)].flatMap(([target, events]) => {
        let closed: FleetEvent | undefined;
        const breaches: HistoryBreach[] = [];
        for (const event of events) {
            if (event.kind === "phase-changed") {
                closed = event.reason === "serving" ? undefined : (closed ?? event);
            } else if (event.kind === "daemon-started") {
                closed = undefined;
            } else if (closed !== undefined && event.kind === "target-run") {
                const afterMs = event.time.wallMs - closed.time.wallMs;
                if (afterMs > history.bounds.closureMs) {
                    const detail = `${target} was given ${event.requestId} ${afterMs} ms after it was ${closed.reason}`;
                    breaches.push({ rule: "no-start-after-closure", detail, events: [closed, event] });
                }
            }
        }
        return breaches;
    });
}

/** A target that is cold is given no more at once than its cold limit, once its agent must have noticed. */
export function checkColdLimit(history: History): readonly HistoryBreach[] {
    return [...listByTarget(history)].flatMap(([target, events]) => {
        const open = new Set<string | undefined>();
        const breaches: HistoryBreach[] = [];
        let cold: FleetEvent | undefined;
        for (const event of events) {
            if (event.kind === "target-cold") {
                cold = event;
            } else if (event.kind === "target-warm") {
                cold = undefined;
            } else if (event.kind === "request-ended") {
                open.delete(event.requestId);
            } else if (event.kind === "target-run") {
                open.add(event.requestId);
                const isNoticed =
                    cold !== undefined && event.time.wallMs - cold.time.wallMs > history.bounds.coldNoticeMs;
                if (cold?.value !== undefined && isNoticed && open.size > cold.value) {
                    const detail = `${target} had ${open.size} requests while cold, and bears ${cold.value}`;
                    breaches.push({ rule: "cold-limit", detail, events: [cold, event] });
                }
            }
        }
        return breaches;
    });
}

/** What happened at each target: what the target itself recorded, and the phases and restarts of its agent. */
function listByTarget(history: History): ReadonlyMap<string, readonly FleetEvent[]> {
    const lists = new Map<string, FleetEvent[]>();
    const agentTargets = new Map<string, string>();
    for (const event of history.events) {
        if (event.kind === "phase-changed" && event.target !== undefined) {
            agentTargets.set(event.daemon, event.target);
        }
        const target = event.kind === "daemon-started" ? agentTargets.get(event.daemon) : event.target;
        if (target !== undefined && targetKinds.has(event.kind)) {
            addTo(lists, target, event);
        }
    }
    return lists;
}

const targetKinds: ReadonlySet<string> = new Set([
    "daemon-started",
    "phase-changed",
    "target-run",
    "target-cold",
    "target-warm",
    "request-ended",
]);
