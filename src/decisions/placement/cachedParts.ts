/**
 * Estimate of the prompt parts that an engine has cached, without a query to the engine.
 *
 * Load pattern: an engine's cache holds about ten seconds of prompts, and each prompt's own part, which is never requested again,
 * evicts shared parts. A router that counted only its own parts would assume parts to be cached long after the prompts of other
 * routers had evicted them: with four routers, a third to a half of the parts assumed to be cached were evicted after fifteen seconds,
 * and had to be prefilled again.
 *
 * Engines evict the least recently used parts. A part is therefore assumed to be cached until all routers together have written as many
 * tokens to the engine since the part's last use as the engine's cache holds.
 */
import { LRUCache } from "lru-cache";

interface CachedPart {
    readonly tokens: number;
    /** Number of tokens written to the engine up to the part's last reported use. */
    readonly usedAtTokens: number;
}

/** Usable fraction of an engine's cache; the margin covers tokens written since the last report of other routers. */
const usableCacheFraction = 0.9;
/** A use is reported if at least this fraction of a part's lifetime has passed since the last reported use. */
const refreshFraction = 0.25;
/** Minimum cache size: targets of services without prompts cache no parts, but the LRU cache requires a positive size. */
const minCacheTokens = 1;

/** Memory of the engine that running requests hold; known at the engine's owner only. */
export interface HeldMemory {
    /** Tokens of running requests, with shared parts. */
    readonly heldTokens: number;
    /** Tokens of running requests that are not in shared parts. */
    readonly ownTokens: number;
    /** Whether a running request holds the shared part. */
    hasPart(partId: string): boolean;
}

/** Estimated cache content of one engine. */
export class CachedParts {
    private readonly parts: LRUCache<string, CachedPart>;
    private readonly usableTokens: number;
    private written = 0;

    /**
     * `cacheTokens`: capacity of the engine's cache; `findHeldMemory`: what running requests hold of it, undefined where that is
     * not known.
     */
    public constructor(
        cacheTokens: number,
        private readonly findHeldMemory: () => HeldMemory | undefined = () => undefined,
    ) {
        this.usableTokens = Math.max(minCacheTokens, Math.floor(cacheTokens * usableCacheFraction));
        this.parts = new LRUCache({
            maxSize: this.usableTokens,
            sizeCalculation: part => Math.max(1, part.tokens),
        });
    }

    /** Whether the part is assumed to be cached. */
    public has(partId: string): boolean {
        const part = this.parts.peek(partId);
        const held = this.findHeldMemory();
        return (
            part !== undefined &&
            (held?.hasPart(partId) === true || this.written - part.usedAtTokens <= this.computeLifetimeTokens(held))
        );
    }

    /** Records that a request uses the part, which the engine then has cached. True if the use should be reported to peers. */
    public recordUse(partId: string, tokens: number): boolean {
        const previous = this.parts.peek(partId);
        const isFresh =
            previous !== undefined && this.written - previous.usedAtTokens <= this.usableTokens * refreshFraction;
        this.parts.set(partId, { tokens, usedAtTokens: isFresh ? previous.usedAtTokens : this.written });
        return !isFresh;
    }

    /** Records tokens of prompts and responses that the engine writes to its cache. */
    public recordWritten(tokens: number): void {
        this.written += tokens;
    }

    public remove(partId: string): void {
        this.parts.delete(partId);
    }

    public clear(): void {
        this.parts.clear();
    }

    /**
     * Tokens that may be written after a part's last reported use before it is overwritten; running requests are never overwritten. At least
     * the tokens after which a use is reported again, as a part that was just used would otherwise count as overwritten.
     */
    private computeLifetimeTokens(held: HeldMemory | undefined): number {
        return Math.max(this.usableTokens * refreshFraction, this.usableTokens - (held?.ownTokens ?? 0));
    }
}
