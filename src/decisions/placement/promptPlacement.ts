/**
 * Placement of prompts: selects the engine that prefills a prompt.
 *
 * Load patterns: many requests share long prompt parts (for example 13,000 tokens), and prefill capacity is the first resource that
 * engines run out of. If requests were sent to any engine, each would prefill the shared part again, and a fleet that could serve
 * all requests would serve a tenth of them. If they were always sent to the part's preferred target, a part that many requests share at
 * the same time would cause a queue there while other engines are idle.
 *
 * The cost of a candidate is the time until the request's own prompt has been prefilled there: the tokens queued at the engine, and
 * those of the request that the engine has not cached. Prefilling another copy of a shared part also delays other requests, as it evicts
 * other parts and blocks the batch, so these tokens are weighted more. The preferred target of a part that no engine has cached
 * is the first by rendezvous hashing, the same at all routers without exchanging messages.
 */
import { hashFast, mixHashes } from "../../base/hash.js";
import { computeMemoryWaitMs } from "./memoryCost.js";

/** An engine that can be sent the request. */
export interface PromptCandidate {
    readonly id: string;
    /** 32-bit hash of the id. */
    readonly idHash: number;
    readonly dataCentre: string;
    /** Prompt tokens queued for prefill at the engine, from all routers. */
    readonly waitingTokens: number;
    readonly running: number;
    readonly slots: number;
    /** Time per prompt token at the engine relative to that of the request's {@link PromptRequest.tokensPerMs}. */
    readonly speedFactor: number;
    /** Tokens that running requests hold in the engine's memory; undefined if unknown. */
    readonly heldTokens?: number | undefined;
    /** Whether the engine is assumed to have cached a shared part of a prompt. */
    hasPart(partId: string): boolean;
}

/** A part of a prompt. */
export interface PlacedPart {
    readonly id: string;
    readonly tokens: number;
}

/** Time that an engine takes to copy cached tokens from another engine over their link. */
export interface CacheTransfer {
    readonly setupMs: number;
    readonly msPerToken: number;
}

/** Attributes of a request that placement depends on. */
export interface PromptRequest {
    /** In the order of the prompt; the last part is the request's own, all others are shared. */
    readonly parts: readonly PlacedPart[];
    readonly promptTokens: number;
    readonly dataCentre: string;
    readonly tokensPerMs: number;
    /** Cost of sending the request to another data centre; milliseconds. A default for all requests when left out. */
    readonly interDataCentreMs?: number;
    /**
     * Longest queue of an engine of the request's data centre that is compared, and preferred for new parts, because of its location;
     * milliseconds. No engine is when left out.
     */
    readonly maxLocalQueueMs?: number;
    /** Size of an engine's memory; undefined if it is not limited. */
    readonly memoryTokens?: number;
    /** Undefined if engines can't copy from one another. */
    readonly transfer: CacheTransfer | undefined;
}

/** Cached tokens that an engine copies from another engine before it prefills the rest of the prompt. */
export interface PromptFetch<T> {
    readonly from: T;
    readonly tokens: number;
    /** Duration of the copy, which delays only this request; milliseconds. */
    readonly ms: number;
}

/** What speaks for and against a candidate; milliseconds. All terms are at the candidate's own speed. */
export interface PlacementCost {
    /** Prefill of the prompt's shared parts that the engine has cached and that so is saved; not part of the sum. */
    readonly savedMs: number;
    /** Prefill of the prompts queued before the request. */
    readonly queueMs: number;
    /** Prefill of the request's uncached tokens; those of shared parts count several times. */
    readonly prefillMs: number;
    /** Time of a copy, and what the copied tokens evict. */
    readonly copyMs: number;
    /** Slowdown by the running requests, and the wait for a slot. */
    readonly batchMs: number;
    /** Cost of sending the request to another data centre. */
    readonly distanceMs: number;
    /** Expected wait for memory that running requests hold; 0 while that is unknown. */
    readonly memoryMs: number;
}

/** The engine selected for a request, and the tokens to prefill there. */
export interface PromptPlacement<T> {
    readonly candidate: T;
    /** Undefined if no copy is made, for example if no other engine has cached more of the prompt. */
    readonly fetch: PromptFetch<T> | undefined;
    /** Tokens of the request that the engine has to prefill. */
    readonly newTokens: number;
    /** Tokens to prefill until the request's prompt is complete: those queued before and {@link newTokens}. */
    readonly tokensAhead: number;
    readonly cost: PlacementCost;
}

/**
 * Weight of a shared token that has to be prefilled again: copies of hot parts evict other shared parts. With a higher
 * factor, a request waits in a longer queue at an engine that has cached its shared part.
 */
const repeatedPrefillFactor = 6;
/** Fraction by which the additional weight of a missing shared part is reduced at its preferred target. */
const preferredTargetDiscount = 0.5;
/** Cost of sending a request to another data centre; milliseconds. A body is some 20 KB, at a distance of about a millisecond. */
const defaultInterDataCentreMs = 4;
/** Slowdown of the engine's steps by each running request, about 5 % of a step's usual time in current engines; milliseconds. */
const runningRequestMs = 1.5;
/** Expected wait for a slot at an engine whose batch is full; milliseconds. */
const fullBatchMs = 1_000;

/** Weight of a copied token: no request waits for its prefill, but it evicts other parts and takes bandwidth of two links. */
const copyFactor = 1.5;
/** Minimum number of tokens to copy: fewer are prefilled in about the setup time of a copy. */
const minFetchTokens = 256;

/**
 * Selects the candidate of least cost; undefined without candidates. `sources`: engines that tokens may be copied from; `preferred`:
 * preferred target of the last shared part while no engine has cached it.
 */
export function choosePromptPlacement<T extends PromptCandidate>(
    candidates: readonly T[],
    request: PromptRequest,
    sources: readonly T[] = candidates,
    preferred: T | undefined = findPreferredTarget(candidates, request.parts[request.parts.length - 2]?.id),
): PromptPlacement<T> | undefined {
    let best: PromptPlacement<T> | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const placement of comparePlacements(candidates, request, sources, preferred)) {
        const costMs = computeTotalCost(placement.cost);
        if (costMs < bestCost) {
            bestCost = costMs;
            best = placement;
        }
    }
    return best;
}

/** The placement at each candidate, in the order of the candidates; the parameters are those of {@link choosePromptPlacement}. */
export function comparePlacements<T extends PromptCandidate>(
    candidates: readonly T[],
    request: PromptRequest,
    sources: readonly T[],
    preferred: T | undefined,
): readonly PromptPlacement<T>[] {
    const { transfer } = request;
    const shared = request.parts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    const ownTokens = Math.max(0, request.promptTokens - sharedTokens);
    const source = transfer === undefined ? undefined : findSource(sources, shared);
    return candidates.map(candidate => {
        const cachedTokens = sharedTokens - countMissingTokens(candidate, shared);
        const fetch = createFetch(source, cachedTokens, transfer);
        const missingTokens = sharedTokens - cachedTokens - (fetch?.tokens ?? 0);
        const newTokens = ownTokens + missingTokens;
        const evictingTokens = missingTokens * computeEvictionWeight(candidate === preferred);
        const cost = computePlacementCost(candidate, request, { cachedTokens, newTokens, evictingTokens, fetch });
        return { candidate, fetch, newTokens, tokensAhead: candidate.waitingTokens + newTokens, cost };
    });
}

/** Weight of a shared token that the engine has to prefill, in addition to its prefill: it evicts other parts. */
function computeEvictionWeight(isPreferred: boolean): number {
    return (repeatedPrefillFactor - 1) * (isPreferred ? 1 - preferredTargetDiscount : 1);
}

/** What a request has to have done at a candidate. */
interface CandidateWork {
    readonly cachedTokens: number;
    readonly newTokens: number;
    /** Tokens of shared parts to prefill, weighted by what they evict. */
    readonly evictingTokens: number;
    readonly fetch: { readonly tokens: number; readonly ms: number } | undefined;
}

function computePlacementCost(
    candidate: PromptCandidate,
    { tokensPerMs, dataCentre, memoryTokens, interDataCentreMs = defaultInterDataCentreMs }: PromptRequest,
    { cachedTokens, newTokens, evictingTokens, fetch }: CandidateWork,
): PlacementCost {
    const msPerToken = candidate.speedFactor / tokensPerMs;
    // What is evicted has to be prefilled again at any engine, so that a fast one is no better for it.
    const evictedMsPerToken = 1 / tokensPerMs;
    const isFull = candidate.running >= candidate.slots;
    return {
        savedMs: cachedTokens * msPerToken,
        queueMs: candidate.waitingTokens * msPerToken,
        prefillMs: newTokens * msPerToken + evictingTokens * evictedMsPerToken,
        copyMs: fetch === undefined ? 0 : fetch.tokens * copyFactor * evictedMsPerToken + fetch.ms,
        batchMs: candidate.running * runningRequestMs * candidate.speedFactor + (isFull ? fullBatchMs : 0),
        distanceMs: candidate.dataCentre === dataCentre ? 0 : interDataCentreMs,
        memoryMs: computeMemoryWaitMs(candidate.heldTokens, newTokens + (fetch?.tokens ?? 0), memoryTokens),
    };
}

/** The cost by which candidates are compared; milliseconds. */
export function computeTotalCost(cost: PlacementCost): number {
    const { queueMs, prefillMs, copyMs, batchMs, distanceMs, memoryMs } = cost;
    return queueMs + prefillMs + copyMs + batchMs + distanceMs + memoryMs;
}

interface Source<T> {
    readonly engine: T;
    readonly tokens: number;
}

/** Finds the engine that has cached the most tokens of the shared parts. */
function findSource<T extends PromptCandidate>(
    sources: readonly T[],
    shared: readonly PlacedPart[],
): Source<T> | undefined {
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    let best: Source<T> | undefined;
    for (const engine of sources) {
        const tokens = sharedTokens - countMissingTokens(engine, shared);
        if (tokens > (best?.tokens ?? 0)) {
            best = { engine, tokens };
        }
    }
    return best;
}

function createFetch<T>(
    source: Source<T> | undefined,
    cachedTokens: number,
    transfer: CacheTransfer | undefined,
): PromptFetch<T> | undefined {
    const tokens = (source?.tokens ?? 0) - cachedTokens;
    return source === undefined || transfer === undefined || tokens < minFetchTokens
        ? undefined
        : { from: source.engine, tokens, ms: transfer.setupMs + tokens * transfer.msPerToken };
}

/** Tokens of shared parts that the engine has to prefill: a part counts as cached only if all parts before it are cached. */
export function countMissingTokens(candidate: PromptCandidate, shared: readonly PlacedPart[]): number {
    let missing = 0;
    for (const part of shared) {
        if (missing > 0 || !candidate.hasPart(part.id)) {
            missing += part.tokens;
        }
    }
    return missing;
}

/** Finds the preferred target of a shared part that no engine has cached; the same at all routers with the same list of engines. */
export function findPreferredTarget<T extends PromptCandidate>(
    candidates: readonly T[],
    partId: string | undefined,
): T | undefined {
    if (partId === undefined) {
        return undefined;
    }
    const partHash = hashFast(partId);
    let preferred: T | undefined;
    let maxWeight = -1;
    for (const candidate of candidates) {
        const weight = mixHashes(partHash, candidate.idHash);
        if (weight > maxWeight) {
            maxWeight = weight;
            preferred = candidate;
        }
    }
    return preferred;
}
