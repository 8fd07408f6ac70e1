/**
 * Selects the router of a data centre that aggregates the account totals reported by its routers. All routers with the same view of the
 * fleet select the same one without exchanging messages.
 *
 * The router with the most processor time is chosen, as aggregation takes processor time that would otherwise serve callers; ties are
 * broken by a hash. Views may differ temporarily, so that two routers aggregate a subset each; totals therefore list the
 * routers that they include.
 */
import { hashFast, mixHashes } from "../../base/hash.js";

/** A router that can be chosen as aggregator. */
export interface AggregatorCandidate {
    readonly routerId: string;
    /** Fraction of a core that the router may use. */
    readonly processorShare: number;
    /** Whether the router has requested its removal from the load balancer. */
    readonly isWithdrawn: boolean;
}

/** Id of the router that aggregates the totals of the data centre; undefined without candidates. */
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

/** Below 0 if `a` is preferred to `b`. */
function comparePreference(a: AggregatorCandidate, b: AggregatorCandidate, seed: number): number {
    if (a.isWithdrawn !== b.isWithdrawn) {
        return a.isWithdrawn ? 1 : -1;
    }
    return (
        b.processorShare - a.processorShare ||
        mixHashes(seed, hashFast(b.routerId)) - mixHashes(seed, hashFast(a.routerId))
    );
}
