import { orderByRendezvous } from "../../base/hash.js";
import type { KeyTiming } from "./keyTiming.js";
import type { RosterHistory, Tenure } from "./rosterHistory.js";

/** A caller-chosen key with its creation time, if the key contains one. */
export interface DatedKey {
    readonly service: string;
    readonly keyHash: string;
    /** Creation time contained in the key, in milliseconds since 1970; undefined for a key without one. */
    readonly keyTimeMs: number | undefined;
}

/**
 * Whether an earlier owner may have started the key's request, or this owner may have started it so long ago that its
 * table entry has been removed. `wallMs` is the time of this process's `SteadyWallClock`.
 */
export function canHaveStartedBefore(
    history: RosterHistory,
    own: Tenure,
    key: DatedKey,
    wallMs: number,
    timing: KeyTiming,
): boolean {
    const endedAtMs = findPredecessorEnd(history, own, key, timing);
    const { maxClockSkewMs, leaseMs, retentionMs } = timing;
    const isDated = key.keyTimeMs !== undefined && key.keyTimeMs <= wallMs + maxClockSkewMs;
    if (isDated) {
        const createdAtMs = key.keyTimeMs ?? 0;
        // The previous owner may start keys for one more lease after the record that ended its ownership. A key created
        // after that, even if the caller's clock is ahead by the maximum skew, cannot have been started there.
        const isAfterTakeover = endedAtMs === undefined || createdAtMs > endedAtMs + leaseMs + maxClockSkewMs;
        // An older key may have been completed here and removed from the table.
        const isWithinRetention = createdAtMs > wallMs - retentionMs + maxClockSkewMs;
        return !(isAfterTakeover && isWithinRetention);
    }
    // A key without a date may be as old as the retention, within which callers may repeat it. A date that is further
    // ahead than the maximum clock skew is ignored.
    return endedAtMs !== undefined && wallMs <= endedAtMs + leaseMs + retentionMs + maxClockSkewMs;
}

/**
 * When the last earlier process that may have started the key's request stopped being its owner, according to the dates
 * in the log; undefined if no earlier process may have started it.
 */
function findPredecessorEnd(history: RosterHistory, own: Tenure, key: DatedKey, timing: KeyTiming): number | undefined {
    const endTimesMs = history.tenures
        .filter(tenure => tenure !== own && tenure.services.includes(key.service))
        .map(tenure => ({ tenure, endMs: computeOwnershipEnd(tenure, own, key.keyHash) }))
        // An owner starts no caller-chosen key during its settling time, and afterwards only after a read that includes
        // all records appended during that time. So agents that start together as a new fleet are not each other's
        // predecessors.
        .filter(({ tenure, endMs }) => tenure.registeredAtMs + timing.settleMs <= endMs + timing.logSlackMs)
        .map(({ endMs }) => endMs);
    if (history.completeSinceMs !== undefined) {
        // The registration of a tenure that began before this date may be older than its date in this history, so the
        // filter above may have excluded it although its settling time had ended.
        endTimesMs.push(history.completeSinceMs + timing.settleMs);
    }
    return endTimesMs.length === 0 ? undefined : Math.max(...endTimesMs);
}

/**
 * When the tenure stopped owning the key at the latest: on this agent's registration, unless its agent ranks higher.
 */
function computeOwnershipEnd(tenure: Tenure, own: Tenure, keyHash: string): number {
    const ranked = orderByRendezvous(keyHash, [tenure, own], candidate => candidate.agentId);
    const isRankedHigher = tenure.agentId !== own.agentId && ranked[0] === tenure;
    const endedAtMs = tenure.endedAtMs ?? Number.POSITIVE_INFINITY;
    return isRankedHigher ? endedAtMs : Math.min(endedAtMs, own.registeredAtMs);
}
