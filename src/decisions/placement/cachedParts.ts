/**
 * Which parts of prompts an engine is believed to keep, without asking it.
 *
 * Load pattern: an engine's memory holds some ten seconds of prompts, and each prompt's own part, which nobody asks for again,
 * pushes out shared ones. A router that counts only parts it knows of believes for long in what others' prompts have pushed
 * out: of what four routers believed held, a third to a half was gone after fifteen seconds, and was read again.
 *
 * Engines drop what was used least recently. So a part is believed held until as many tokens as the engine keeps have been
 * written there since its last use, by all routers.
 */
import { LRUCache } from "lru-cache";

interface HeldPart {
    readonly tokens: number;
    /** The engine's count of written tokens at the part's last use. */
    readonly usedAt: number;
}

/** Part of an engine's memory that is counted on; the margin covers what was written since the last word of other routers. */
const cacheShare = 0.9;
/** A use is reported when it is this part of a part's life after the last one that was. */
const refreshShare = 0.25;
/** A plain service's targets hold no parts; the cache wants a size all the same. */
const leastCacheTokens = 1;

/** What one engine is believed to keep. */
export class CachedParts {
    private readonly parts: LRUCache<string, HeldPart>;
    private readonly lifeTokens: number;
    private written = 0;

    /** `cacheTokens`: the engine's whole memory. */
    public constructor(cacheTokens: number) {
        this.lifeTokens = Math.max(leastCacheTokens, Math.floor(cacheTokens * cacheShare));
        this.parts = new LRUCache({
            maxSize: this.lifeTokens,
            sizeCalculation: part => Math.max(1, part.tokens),
        });
    }

    public has(partId: string): boolean {
        const part = this.parts.peek(partId);
        return part !== undefined && this.written - part.usedAt <= this.lifeTokens;
    }

    /** A request uses the part, which the engine then holds. True when it should be reported to peers. */
    public recordUse(partId: string, tokens: number): boolean {
        const before = this.parts.peek(partId);
        const isFresh = before !== undefined && this.written - before.usedAt <= this.lifeTokens * refreshShare;
        this.parts.set(partId, { tokens, usedAt: isFresh ? before.usedAt : this.written });
        return !isFresh;
    }

    /** Tokens of prompts and answers that the engine writes into its memory. */
    public recordWritten(tokens: number): void {
        this.written += tokens;
    }

    public remove(partId: string): void {
        this.parts.delete(partId);
    }

    public clear(): void {
        this.parts.clear();
    }
}
