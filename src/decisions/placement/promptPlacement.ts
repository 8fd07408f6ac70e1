/**
 * Which engine reads a prompt.
 *
 * Load patterns: many requests share long prompt parts (a roster of 13,000 tokens), and prompt tokens read are what
 * engines run out of first. Sent to any engine, a request makes it read the shared part anew, and a fleet that could serve
 * everything serves a tenth; always sent to the part's home, a part that many ask for at once piles up a queue there while
 * others idle.
 *
 * Each candidate is charged the time until the request's own prompt has been read there: the tokens that wait there, and
 * those of the request that the engine does not hold. Reading a shared part once more costs others too, as it pushes
 * out other parts and holds up the batch, so such tokens count more than once. The home of a part that nobody holds
 * is the first by rendezvous hashing, the same for all routers without a word between them.
 */
import { hashFast, mixHashes } from "../../base/hash.js";

/** An engine that could take the request. */
export interface PromptCandidate {
    readonly id: string;
    /** 32-bit hash of the id. */
    readonly idHash: number;
    readonly dataCentre: string;
    /** Prompt tokens that wait to be read there, from all routers. */
    readonly waitingTokens: number;
    readonly running: number;
    readonly slots: number;
    /** Whether a shared part of a prompt is believed to be held there. */
    hasPart(partId: string): boolean;
}

/** A part of a prompt. */
export interface PlacedPart {
    readonly id: string;
    readonly tokens: number;
}

/** What it takes an engine to copy cached tokens from another one over their link. */
export interface CacheTransfer {
    readonly setupMs: number;
    readonly msPerToken: number;
}

/** What placement needs of a request. */
export interface PromptRequest {
    /** In the prompt's order; the last one is the request's own. */
    readonly parts: readonly PlacedPart[];
    readonly promptTokens: number;
    readonly dataCentre: string;
    readonly tokensPerMs: number;
    /** Undefined where engines can't copy from one another. */
    readonly transfer: CacheTransfer | undefined;
}

/** Cached tokens that an engine copies from another one before it reads the rest. */
export interface PromptFetch<T> {
    readonly from: T;
    readonly tokens: number;
    /** How long the copy takes; the request alone waits for it. */
    readonly ms: number;
}

/** Where a request goes, and what it costs there. */
export interface PromptPlacement<T> {
    readonly candidate: T;
    /** Undefined when the candidate holds as much as any other engine. */
    readonly fetch: PromptFetch<T> | undefined;
    /** Tokens of the request that the engine has to read. */
    readonly newTokens: number;
    /** Tokens to be read up to and with the request's own. */
    readonly tokensAhead: number;
}

/**
 * A shared token that is read once more counts this often: copies of hot parts push out parts that others ask for. The queue that a
 * home is worth waiting in grows with the factor.
 */
const rereadFactor = 6;
/** Part of the cost of a missing shared part that the home of the part is spared, while nobody holds it. */
const homeShare = 0.5;
/** Cost of leaving the data centre; milliseconds. A body is some 20 KB, and the data centres lie about a millisecond apart. */
const distanceMs = 4;
/** Each running request slows the engine's steps, by about 5 % of a step's usual time in current engines; milliseconds. */
const batchMs = 1.5;
/** A request too many for the batch waits for another one to end; milliseconds. */
const fullBatchMs = 1_000;

/** A copied token counts this often: nobody waits for its reading, but it pushes out other parts and takes two links. */
const copyFactor = 1.5;
/** Fewer tokens than these are read in about the time that a copy takes to begin. */
const leastFetchTokens = 256;

/**
 * The cheapest candidate; undefined without candidates. `sources`: engines that tokens may be copied from; `home`: where the last
 * shared part belongs while no engine keeps it.
 */
export function choosePromptPlacement<T extends PromptCandidate>(
    candidates: readonly T[],
    request: PromptRequest,
    sources: readonly T[] = candidates,
    home: T | undefined = findPreferredTarget(candidates, request.parts[request.parts.length - 2]?.id),
): PromptPlacement<T> | undefined {
    const shared = request.parts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    const ownTokens = Math.max(0, request.promptTokens - sharedTokens);
    const source = request.transfer === undefined ? undefined : findSource(sources, shared);
    let best: PromptPlacement<T> | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const held = sharedTokens - countMissingTokens(candidate, shared);
        const fetch = createFetch(source, held, request.transfer);
        const missing = sharedTokens - held - (fetch?.tokens ?? 0);
        const newTokens = ownTokens + missing;
        const reread = missing * (rereadFactor - 1) * (candidate === home ? 1 - homeShare : 1);
        const costMs =
            (newTokens + reread + (fetch?.tokens ?? 0) * copyFactor) / request.tokensPerMs +
            (fetch?.ms ?? 0) +
            computeLoadMs(candidate, request);
        if (costMs < bestCost) {
            bestCost = costMs;
            best = { candidate, fetch, newTokens, tokensAhead: candidate.waitingTokens + newTokens };
        }
    }
    return best;
}

/** What the candidate's load and distance cost a request, whatever it holds. */
function computeLoadMs(candidate: PromptCandidate, { tokensPerMs, dataCentre }: PromptRequest): number {
    return (
        candidate.waitingTokens / tokensPerMs +
        candidate.running * batchMs +
        (candidate.running >= candidate.slots ? fullBatchMs : 0) +
        (candidate.dataCentre === dataCentre ? 0 : distanceMs)
    );
}

interface Source<T> {
    readonly engine: T;
    readonly tokens: number;
}

/** The engine that holds most of the shared parts. */
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
    held: number,
    transfer: CacheTransfer | undefined,
): PromptFetch<T> | undefined {
    const tokens = (source?.tokens ?? 0) - held;
    return source === undefined || transfer === undefined || tokens < leastFetchTokens
        ? undefined
        : { from: source.engine, tokens, ms: transfer.setupMs + tokens * transfer.msPerToken };
}

/** Tokens of shared parts that the engine has to read: a part counts as held only while all before it are held too. */
export function countMissingTokens(candidate: PromptCandidate, shared: readonly PlacedPart[]): number {
    let missing = 0;
    for (const part of shared) {
        if (missing > 0 || !candidate.hasPart(part.id)) {
            missing += part.tokens;
        }
    }
    return missing;
}

/** The engine that a shared part belongs to while none keeps it, the same for all routers that know the same engines. */
export function findPreferredTarget<T extends PromptCandidate>(
    candidates: readonly T[],
    partId: string | undefined,
): T | undefined {
    if (partId === undefined) {
        return undefined;
    }
    const partHash = hashFast(partId);
    let home: T | undefined;
    let greatest = -1;
    for (const candidate of candidates) {
        const weight = mixHashes(partHash, candidate.idHash);
        if (weight > greatest) {
            greatest = weight;
            home = candidate;
        }
    }
    return home;
}
