/**
 * Engines of the request's own data centre, for services whose requests should not be sent to other data centres.
 *
 * Load pattern: most callers of an account are in one data centre, and its requests share long prompt parts. If each part were first
 * prefilled at any engine of the fleet, three quarters of the requests would follow their parts to other data centres, each with its body.
 * Parts are therefore first prefilled where the callers are, but only while the engines there have free capacity: a data centre with more
 * callers than its engines serve would otherwise queue requests while engines elsewhere are idle.
 */
import { findPreferredTarget, type PromptCandidate, type PromptRequest } from "./promptPlacement.js";

/** A request whose own data centre is preferred. */
export type LocalRequest = Pick<PromptRequest, "dataCentre" | "tokensPerMs"> & {
    /** Longest queue of an engine with free capacity; milliseconds. */
    readonly maxQueueMs: number;
};

/**
 * The preferred target of a part that no engine has cached, among the engines of the request's data centre while these have free capacity:
 * their mean queue is within the limit. Any engine otherwise, and for a part that an engine has cached.
 */
export function findLocalPreferredTarget<T extends PromptCandidate>(
    candidates: readonly T[],
    partId: string | undefined,
    request: LocalRequest,
): T | undefined {
    const isCached = partId !== undefined && candidates.some(candidate => candidate.hasPart(partId));
    const local = isCached ? [] : candidates.filter(({ dataCentre }) => dataCentre === request.dataCentre);
    const hasCapacity = local.length > 0 && computeMeanQueueMs(local, request) <= request.maxQueueMs;
    return findPreferredTarget(hasCapacity ? local : candidates, partId);
}

/** Whether the engine is in the request's data centre and has free capacity. */
export function isOpenLocalEngine(candidate: PromptCandidate, request: LocalRequest): boolean {
    return (
        candidate.dataCentre === request.dataCentre &&
        candidate.running < candidate.slots &&
        computeQueueMs(candidate, request) <= request.maxQueueMs
    );
}

function computeMeanQueueMs(engines: readonly PromptCandidate[], request: LocalRequest): number {
    return engines.reduce((sum, engine) => sum + computeQueueMs(engine, request), 0) / engines.length;
}

function computeQueueMs({ waitingTokens, speedFactor }: PromptCandidate, { tokensPerMs }: LocalRequest): number {
    return (waitingTokens * speedFactor) / tokensPerMs;
}
