import { checkDocuments } from "./checks/documentChecks.js";
import { checkGap } from "./checks/fairnessCheck.js";
import { History, type HistoryBounds, type HistoryBreach } from "./checks/history.js";
import {
    checkAnswers,
    checkAtMostOnce,
    checkNotRun,
    checkPlannedStop,
    checkStarvation,
} from "./checks/requestChecks.js";
import { checkClosures, checkColdLimit } from "./checks/targetChecks.js";
import type { Timeline } from "./mergeTimeline.js";

export type { HistoryBounds, HistoryBreach, Isolation, RuleName } from "./checks/history.js";

/** The bounds that the documents promise. */
export const defaultHistoryBounds: HistoryBounds = {
    closureMs: 3_000,
    coldNoticeMs: 2_000,
    documentMs: 5_000,
    waitMs: 60_000,
    gap: 50_000,
    weights: {},
    isolations: [],
};

/**
 * Reads a merged history and reports each promise that did not hold, with the events that show it. What is not in the
 * history (a killed process' last events) is never held against the system: a breach is what the events prove.
 */
export function checkHistory(timeline: Timeline, bounds: HistoryBounds): readonly HistoryBreach[] {
    const history = new History(timeline, bounds);
    return checks.flatMap(check => check(history));
}

const checks: readonly ((history: History) => readonly HistoryBreach[])[] = [
    checkAtMostOnce,
    checkNotRun,
    checkAnswers,
    checkClosures,
    checkColdLimit,
    checkGap,
    checkStarvation,
    checkDocuments,
    checkPlannedStop,
];
