/**
 * Placement: which agent a request is offered to first.
 *
 * Load patterns: hot prefixes (a district roster shared by many route rebuilds), a slow or cold target, load reports that
 * are seconds old. Without affinity every target computes every roster anew; with affinity alone the target that holds
 * the hot roster gets a queue while others idle; by load alone all routers run to the one target that looked idle in the
 * last report.
 *
 * Every candidate gets a score in milliseconds: expected wait, slowdown by a fuller batch, and distance; two candidates
 * per (account, prefix), picked by rendezvous hashing, get an advantage, as do targets known to hold the prefix. The
 * advantage is the computing time that the cached prefix saves, and at most `maxAffinityMs`. A target without room is no
 * candidate while one with room is known, so affinity beats an idle target only as far as reports are stale. Two candidates and not one, so that a hot prefix has somewhere to go
 * before it leaves the cache altogether. Near-equal scores are decided by chance, so that routers with equal, stale views
 * don't all run to one target.
 */
import { hashToNumber, mixHashes } from "../../base/hash.js";
import type { Random } from "../../base/random.js";

/** An agent that could take the request. */
export interface PlacementCandidate {
    readonly agentId: string;
    /** {@link computeNameHash} of the agent's id. */
    readonly nameHash: number;
    readonly dataCentre: string;
    /** Requests the target may run at once. */
    readonly window: number;
    /** Requests running or queued there, with those sent since the last report. */
    readonly load: number;
    /** Requests of the same account that this router has waiting there. */
    readonly ownWaiting: number;
    /** Smoothed time of one request; milliseconds; 0 when not known. */
    readonly serviceTimeMs: number;
    /** Whether the target is known to hold the request's prefix; false also when hints are missing. */
    readonly hasCachedPrefix: boolean;
}

/** What placement needs of a request. */
export interface PlacementRequest {
    /** {@link computeAffinityHash} of account and prefix; undefined without a prefix. */
    readonly affinityHash: number | undefined;
    readonly promptTokens: number;
    readonly dataCentre: string;
}

/** Greatest wait that affinity may cost beyond an idle target; a quarter of a second is what a caller hardly notices. */
export const maxAffinityAdvantageMs = 250;
/** Prefill speed of current engines, a few thousand tokens a second; rough, as it only scales a capped advantage. */
const prefillMsPerToken = 0.2;
/** A rendezvous candidate without a cache hint probably holds the prefix, but evictions and late events are common. */
const rendezvousShare = 0.5;
const rendezvousCandidates = 2;
/** Cost of leaving the data centre; they lie within a millisecond of one another. */
const distanceMs = 1;
/** A request in a full batch runs about this share of its time longer than alone; engine benchmarks vary from 0.2 to 1. */
const batchSlowdown = 0.25;
/** Scores nearer than this can't be told apart, as reports are older than that. */
const tieBandMs = 0.5;
const unknownServiceTimeMs = 100;
/** Turn that another account's waiting request takes ahead of this one; small, as most of them are behind it. */
const othersShare = 0.4;

/** A 32-bit hash of an agent's id, computed once per agent. */
export function computeNameHash(agentId: string): number {
    return hashToNumber(agentId) >>> 0;
}

/** A 32-bit hash of (account, prefix): prefixes of two accounts never share a placement, so that no cache tells on another. */
export function computeAffinityHash(clientAccount: string, prefixHash: string): number {
    return hashToNumber(`${clientAccount}\n${prefixHash}`) >>> 0;
}

/** The best candidate; undefined without candidates. Linear in the candidates, independent of what waits. */
export function choosePlacement<T extends PlacementCandidate>(
    candidates: readonly T[],
    request: PlacementRequest,
    random: Random,
): T | undefined {
    const allowed = listAllowed(candidates);
    const affine = listRendezvous(candidates, request.affinityHash);
    const advantageMs = Math.min(maxAffinityAdvantageMs, request.promptTokens * prefillMsPerToken);
    const scored = allowed.map(candidate => {
        const share = candidate.hasCachedPrefix ? 1 : affine.includes(candidate) ? rendezvousShare : 0;
        return { candidate, score: computeBaseScore(candidate, request.dataCentre) - share * advantageMs };
    });
    const limit = Math.min(...scored.map(entry => entry.score)) + tieBandMs;
    const best = scored.filter(entry => entry.score <= limit);
    return best[Math.floor(random.next() * best.length)]?.candidate;
}

/**
 * Expected wait of one more request; milliseconds. At a full target it is the time until enough slots come free: one per
 * request of the same account ahead, and a part of one per other, since the agent's fair queue lets accounts take turns.
 */
function estimateWaitMs(candidate: PlacementCandidate): number {
    const { window, load, ownWaiting, serviceTimeMs } = candidate;
    if (load < window) {
        return 0;
    }
    const others = Math.max(0, load - window - ownWaiting);
    const ahead = 1 + ownWaiting + othersShare * others;
    return (ahead * (serviceTimeMs || unknownServiceTimeMs)) / Math.max(1, window);
}

/** Those with room, or else those where the fewest of the account's own requests wait. */
function listAllowed<T extends PlacementCandidate>(candidates: readonly T[]): readonly T[] {
    const withRoom = candidates.filter(candidate => candidate.load < candidate.window);
    if (withRoom.length > 0) {
        return withRoom;
    }
    const least = Math.min(...candidates.map(candidate => candidate.ownWaiting));
    return candidates.filter(candidate => candidate.ownWaiting === least);
}

function computeBaseScore(candidate: PlacementCandidate, dataCentre: string): number {
    const serviceTimeMs = candidate.serviceTimeMs || unknownServiceTimeMs;
    const fill = Math.min(1, candidate.load / Math.max(1, candidate.window));
    return (
        estimateWaitMs(candidate) +
        batchSlowdown * fill * serviceTimeMs +
        (candidate.dataCentre === dataCentre ? 0 : distanceMs)
    );
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
