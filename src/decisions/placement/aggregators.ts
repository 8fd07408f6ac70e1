/**
 * Which router of a data centre sums up what its routers report of accounts, the same in all routers' views without a message
 * between them.
 *
 * The one with the most processor time is chosen, as summing takes some of it from callers; equal ones are ranked by a hash. Views may differ
 * for a while, so that two routers sum up a part each; sums name the routers that they are over.
 */
import { hashFast, mixHashes } from "../../base/hash.js";

/** A router that could be chosen. */
export interface AggregatorCandidate {
    readonly routerId: string;
    /** Part of a core that it may use. */
    readonly processorShare: number;
    /** Whether it asks the balancer to leave it out. */
    readonly isWithdrawn: boolean;
}

/** The router chosen for the data centre; undefined without candidates. */
export function chooseAggregator(dataCentre: string, candidates: readonly AggregatorCandidate[]): string | undefined {
    const seed = hashFast(dataCentre);
    let best: AggregatorCandidate | undefined;
    for (const candidate of candidates) {
        if (best === undefined || comparePreference(candidate, best, seed) < 0) {
            best = candidate;
        }
    }
    return best?.routerId;
}

/** Below 0 if `a` goes before `b`. */
function comparePreference(a: AggregatorCandidate, b: AggregatorCandidate, seed: number): number {
    if (a.isWithdrawn !== b.isWithdrawn) {
        return a.isWithdrawn ? 1 : -1;
    }
    return (
        b.processorShare - a.processorShare ||
        mixHashes(seed, hashFast(b.routerId)) - mixHashes(seed, hashFast(a.routerId))
    );
}
