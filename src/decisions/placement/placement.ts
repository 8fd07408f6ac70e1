/**
 * Placement: selects the agent that a request is offered to first.
 *
 * Load patterns: hot prefixes (a long prompt prefix shared by many requests), a slow or cold target, load reports that
 * are seconds old. Without affinity every target computes every prefix again; with affinity alone the target that has cached
 * the hot prefix builds up a queue while others are idle; by load alone all routers choose the same target that was idle in the
 * last report.
 *
 * Every candidate has a score in milliseconds: expected wait, slowdown by a fuller batch, and distance. Two candidates
 * per (account, prefix), selected by rendezvous hashing, have an advantage, as do targets that are reported to have cached the prefix.
 * The advantage is the computing time that the cached prefix saves, limited to {@link maxAffinityAdvantageMs}. A target without
 * capacity is excluded while another one has capacity, so affinity outweighs an idle target only if reports are stale. There are two
 * rendezvous candidates instead of one, so that a hot prefix has an alternative target when the first one is full. Near-equal scores
 * are decided at random, so that routers with the same stale view don't all choose the same target.
 */
import { hashToNumber, mixHashes } from "../../base/hash.js";
import type { Random } from "../../base/random.js";

/** An agent that can be offered the request. */
export interface PlacementCandidate {
    readonly agentId: string;
    /** {@link computeNameHash} of the agent's id. */
    readonly nameHash: number;
    readonly dataCentre: string;
    /** Maximum number of requests that the target runs concurrently. */
    readonly window: number;
    /** Requests running or queued at the target, including those sent since the last report. */
    readonly load: number;
    /** Requests of the same account that this router has waiting at the target. */
    readonly ownWaiting: number;
    /** Smoothed run time of one request; milliseconds; 0 if it has not been measured. */
    readonly serviceTimeMs: number;
    /** Whether the target is reported to have cached the request's prefix; false also if there is no report. */
    readonly hasCachedPrefix: boolean;
}

/** Attributes of a request that placement depends on. */
export interface PlacementRequest {
    /** {@link computeAffinityHash} of account and prefix; undefined without a prefix. */
    readonly affinityHash: number | undefined;
    readonly promptTokens: number;
    readonly dataCentre: string;
}

/** Maximum additional wait for affinity compared with an idle target; callers hardly notice a quarter of a second. */
export const maxAffinityAdvantageMs = 250;
/** Prefill time per token of current engines (a few thousand tokens per second); approximate, as it only scales a capped advantage. */
const prefillMsPerToken = 0.2;
/**
 * Fraction of the affinity advantage for a rendezvous candidate that is not reported to have cached the prefix. The prefix is probably
 * cached there, but evictions and late reports are common.
 */
const rendezvousFraction = 0.5;
const rendezvousCandidates = 2;
/** Cost of sending a request to another data centre; the data centres are within a millisecond of one another. */
const distanceMs = 1;
/** Relative slowdown of a request in a full batch compared with an otherwise idle engine; measured values range from 0.2 to 1. */
const batchSlowdown = 0.25;
/** Scores closer than this count as equal, as reports are not more accurate. */
const tieBandMs = 0.5;
/** Service time assumed until it has been measured. */
const defaultServiceTimeMs = 100;
/** Fraction of other accounts' queued requests that are served before this request; small, as most of them are served after it. */
const othersFraction = 0.4;

/** A 32-bit hash of an agent's id, computed once per agent. */
export function computeNameHash(agentId: string): number {
    return hashToNumber(agentId) >>> 0;
}

/** A 32-bit hash of (account, prefix). Each account has its own placements, so that caching doesn't reveal another account's prompts. */
export function computeAffinityHash(clientAccount: string, prefixHash: string): number {
    return hashToNumber(`${clientAccount}\n${prefixHash}`) >>> 0;
}

/** Selects the best candidate; undefined without candidates. Linear in the number of candidates, independent of queue lengths. */
export function choosePlacement<T extends PlacementCandidate>(
    candidates: readonly T[],
    request: PlacementRequest,
    random: Random,
): T | undefined {
    const eligible = listEligible(candidates);
    const preferred = listRendezvous(candidates, request.affinityHash);
    const advantageMs = Math.min(maxAffinityAdvantageMs, request.promptTokens * prefillMsPerToken);
    const scored = eligible.map(candidate => {
        const fraction = candidate.hasCachedPrefix ? 1 : preferred.includes(candidate) ? rendezvousFraction : 0;
        return { candidate, score: computeBaseScore(candidate, request.dataCentre) - fraction * advantageMs };
    });
    const maxScore = Math.min(...scored.map(entry => entry.score)) + tieBandMs;
    const best = scored.filter(entry => entry.score <= maxScore);
    return best[Math.floor(random.next() * best.length)]?.candidate;
}

/**
 * Expected wait of one more request; milliseconds. At a full target it is the time until enough slots are free: one for each
 * queued request of the same account, and a fraction of one for each other queued request, as the agent's fair queue alternates
 * between accounts.
 */
function estimateWaitMs(candidate: PlacementCandidate): number {
    const { window, load, ownWaiting, serviceTimeMs } = candidate;
    if (load < window) {
        return 0;
    }
    const others = Math.max(0, load - window - ownWaiting);
    const requiredSlots = 1 + ownWaiting + othersFraction * others;
    return (requiredSlots * (serviceTimeMs || defaultServiceTimeMs)) / Math.max(1, window);
}

/** Candidates with capacity, or, if all are full, those with the fewest waiting requests of the account. */
export function listEligible<T extends PlacementCandidate>(candidates: readonly T[]): readonly T[] {
    const available = candidates.filter(candidate => candidate.load < candidate.window);
    if (available.length > 0) {
        return available;
    }
    const minWaiting = Math.min(...candidates.map(candidate => candidate.ownWaiting));
    return candidates.filter(candidate => candidate.ownWaiting === minWaiting);
}

function computeBaseScore(candidate: PlacementCandidate, dataCentre: string): number {
    const { wait, batch, distance } = computePlacementTerms(candidate, dataCentre);
    return wait + batch + distance;
}

/** Terms of a candidate's score without affinity; milliseconds. */
export function computePlacementTerms(
    candidate: PlacementCandidate,
    dataCentre: string,
): Readonly<Record<"wait" | "batch" | "distance", number>> {
    const serviceTimeMs = candidate.serviceTimeMs || defaultServiceTimeMs;
    const utilization = Math.min(1, candidate.load / Math.max(1, candidate.window));
    return {
        wait: estimateWaitMs(candidate),
        batch: batchSlowdown * utilization * serviceTimeMs,
        distance: candidate.dataCentre === dataCentre ? 0 : distanceMs,
    };
}

function listRendezvous<T extends PlacementCandidate>(
    candidates: readonly T[],
    affinityHash: number | undefined,
): readonly T[] {
    if (affinityHash === undefined) {
        return [];
    }
    return candidates
        .map(candidate => ({ candidate, weight: mixHashes(affinityHash, candidate.nameHash) }))
        .sort((a, b) => b.weight - a.weight)
        .slice(0, rendezvousCandidates)
        .map(entry => entry.candidate);
}
