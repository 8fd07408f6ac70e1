import { orderByRendezvous } from "../../base/hash.js";
import type { KeyTiming } from "./keyTiming.js";
import type { RosterHistory, Tenure } from "./rosterHistory.js";

/** A caller-chosen key, as far as its age matters. */
export interface DatedKey {
    readonly service: string;
    readonly keyHash: string;
    /** When the key itself says it was made; undefined when it does not say. */
    readonly keyTimeMs: number | undefined;
}

/**
 * Whether the key may have been started by an earlier home, or by this one so long ago that it is forgotten.
 * `wallMs` is this process's steady wall clock.
 */
export function canHaveStartedBefore(
    history: RosterHistory,
    own: Tenure,
    key: DatedKey,
    wallMs: number,
    timing: KeyTiming,
): boolean {
    const endedAtMs = findPredecessorEnd(history, own, key, timing);
    const { maxClockSkewMs: clockBoundMs, leaseMs, retentionMs } = timing;
    const isDated = key.keyTimeMs !== undefined && key.keyTimeMs <= wallMs + clockBoundMs;
    if (isDated) {
        const madeAtMs = key.keyTimeMs ?? 0;
        // The predecessor may start keys for one more lease after the record that ended it. A key made after that, by
        // whichever clock within the bound, cannot have been there.
        const isAfterTakeover = endedAtMs === undefined || madeAtMs > endedAtMs + leaseMs + clockBoundMs;
        // An older key may have been used here, answered, and dropped from the table.
        const isWithinRetention = madeAtMs > wallMs - retentionMs + clockBoundMs;
        return !(isAfterTakeover && isWithinRetention);
    }
    // An undated key may be as old as callers may repeat it. (A date ahead of the clock bound is no date.)
    return endedAtMs !== undefined && wallMs <= endedAtMs + leaseMs + retentionMs + clockBoundMs;
}

/**
 * When the last process that may have started the key before this one ceased to be its home, by the log's dates;
 * undefined when there never was one.
 */
function findPredecessorEnd(history: RosterHistory, own: Tenure, key: DatedKey, timing: KeyTiming): number | undefined {
    const ends = history.tenures
        .filter(tenure => tenure !== own && tenure.services.includes(key.service))
        .map(tenure => ({ tenure, endMs: computeHomeEnd(tenure, own, key.keyHash) }))
        // A home starts nothing during its settling time, and then only after a read that would have shown a record made
        // meanwhile. So agents that come up together as a new fleet are no predecessors of each other.
        .filter(({ tenure, endMs }) => tenure.registeredAtMs + timing.settleMs <= endMs + timing.logSlackMs)
        .map(({ endMs }) => endMs);
    if (history.completeSinceMs !== undefined) {
        // Of a tenure first seen before then, the registration may be older than the record that showed it, so the rule
        // above may have taken it for one that was settling.
        ends.push(history.completeSinceMs + timing.settleMs);
    }
    return ends.length === 0 ? undefined : Math.max(...ends);
}

/** Until when the tenure can have been the key's home: this agent displaces it unless it ranks higher. */
function computeHomeEnd(tenure: Tenure, own: Tenure, keyHash: string): number {
    const ranked = orderByRendezvous(keyHash, [tenure, own], candidate => candidate.agentId);
    const isHigher = tenure.agentId !== own.agentId && ranked[0] === tenure;
    const endedAtMs = tenure.endedAtMs ?? Number.POSITIVE_INFINITY;
    return isHigher ? endedAtMs : Math.min(endedAtMs, own.registeredAtMs);
}
