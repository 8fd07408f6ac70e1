/**
 * How much one engine is given to read, decided at one place: the router that owns the engine.
 *
 * Load pattern: many routers choose engines by what they know of one another's sends. The older that is, the more of them
 * choose the same engine, which all believe idle; and above saturation each engine gets a prompt the moment it has nothing
 * to read, so that its running streams never get a token. The owner's books are exact for its engine however old everything
 * else is.
 *
 * An engine that reads generates no tokens for its streams. So within any span of the pause objective it is given at most a
 * part of what it reads in that span, and streams get their tokens in the rest. Grants expire with the span, so that one whose
 * request was never sent, or whose end is not reported, holds nothing up for long.
 */

/** What a router asks the owner of an engine for. */
export interface PrefillRequest {
    /** Unique over all routers. */
    readonly id: string;
    /** Prompt tokens that the engine has to read. */
    readonly tokens: number;
    /** Prompt tokens that may wait to be read there before the request's own. */
    readonly maxQueuedTokens: number;
    /** Part of the limit that may be in use with this request, 0 to 1. */
    readonly maxUsage: number;
    /** Span of the limit: the longest pause that the engine's streams bear; milliseconds. */
    readonly windowMs: number;
}

/** What an engine can take. */
export interface EngineRate {
    readonly tokensPerMs: number;
    readonly slots: number;
    /** Part of any span that the engine may read, above 0. */
    readonly readingShare: number;
}

/** The owner's answer. */
export interface PrefillDecision {
    readonly granted: boolean;
    /** Prompt tokens that wait to be read there before the request's own. */
    readonly queuedTokens: number;
    /** Part of the span's reading time that is given away, with this request if it is granted. */
    readonly usage: number;
    /** When a request like this one could be granted; 0 if this one is. */
    readonly retryAfterMs: number;
}

interface Entry {
    readonly id: string;
    readonly tokens: number;
    readonly grantedAtMs: number;
    /** When the engine has read it, at its learnt speed. */
    readonly readAtMs: number;
    hasStarted: boolean;
}

/** Grants are kept for the longest span that any request names, and no longer. */
const longestSpanMs = 2_000;
/** A request that has not been reported as ended by then is over or lost. */
const runTtlMs = 20_000;
/** A prompt without output so long after it should have been read is held up by an engine that stalls. */
const stalledMs = 1_000;
/**
 * Part of a request's own tokens that must find room: with all of them long prompts would wait for a room that short ones take first.
 * Requests that may go beyond the limit need room for none of theirs.
 */
const ownWeight = 0.5;
/** A full engine is asked again after this long; about the time in which one of its streams ends. */
const fullRetryMs = 100;

/** The books of one engine. */
export class EngineBudget {
    /** Granted requests in order of their times. */
    private entries: Entry[] = [];
    private readonly running = new Map<string, number>();

    /** Requests under way. */
    public countRunning(nowMs: number): number {
        this.removeOld(nowMs);
        return this.running.size;
    }

    /** Prompt tokens that wait to be read. */
    public countQueuedTokens(rate: EngineRate, nowMs: number): number {
        this.removeOld(nowMs);
        return this.entries.reduce((sum, entry) => sum + countUnread(entry, rate, nowMs), 0);
    }

    /** Decides, and books what it grants. A request that is asked for twice is booked once. */
    public check(request: PrefillRequest, rate: EngineRate, nowMs: number): PrefillDecision {
        const aheadTokens = this.countQueuedTokens(rate, nowMs);
        const spanTokens = rate.tokensPerMs * request.windowMs;
        const usedTokens = this.countUsed(request.windowMs, nowMs);
        if (this.running.has(request.id)) {
            return { granted: true, queuedTokens: aheadTokens, usage: usedTokens / spanTokens, retryAfterMs: 0 };
        }
        const limit = spanTokens * rate.readingShare * request.maxUsage;
        const waits = [
            this.running.size >= rate.slots ? fullRetryMs : 0,
            Math.max(0, aheadTokens - request.maxQueuedTokens) / rate.tokensPerMs,
            this.computeRoomMs(request, limit, nowMs),
        ];
        const retryAfterMs = Math.max(...waits);
        const granted = retryAfterMs === 0;
        if (granted) {
            this.record(request, rate, nowMs);
        }
        const use = (usedTokens + (granted ? request.tokens : 0)) / spanTokens;
        return { granted, queuedTokens: aheadTokens, usage: use, retryAfterMs };
    }

    /** Books a request that is sent whatever the limit says. */
    public record({ id, tokens }: Pick<PrefillRequest, "id" | "tokens">, rate: EngineRate, nowMs: number): void {
        if (!this.running.has(id)) {
            const freeAtMs = this.entries[this.entries.length - 1]?.readAtMs ?? nowMs;
            const readAtMs = Math.max(nowMs, freeAtMs) + tokens / rate.tokensPerMs;
            this.entries.push({ id, tokens, grantedAtMs: nowMs, readAtMs, hasStarted: false });
            this.running.set(id, nowMs);
        }
    }

    /** The engine has read the prompt. */
    public recordStart(id: string): void {
        const entry = this.entries.find(candidate => candidate.id === id);
        if (entry !== undefined) {
            entry.hasStarted = true;
        }
    }

    /** The request has ended; `hasRun` is false where the engine never got it, which gives the grant back. */
    public recordEnd(id: string, hasRun: boolean): void {
        this.running.delete(id);
        if (hasRun) {
            this.recordStart(id);
        } else {
            this.entries = this.entries.filter(entry => entry.id !== id);
        }
    }

    private countUsed(spanMs: number, nowMs: number): number {
        return this.entries.reduce((sum, entry) => sum + (nowMs - entry.grantedAtMs < spanMs ? entry.tokens : 0), 0);
    }

    /**
     * Time until the request finds room; a prompt larger than the limit finds it once nothing is in use.
     */
    private computeRoomMs(
        { windowMs: spanMs, tokens, maxUsage: mostUse }: PrefillRequest,
        limit: number,
        nowMs: number,
    ): number {
        const used = this.entries.filter(entry => nowMs - entry.grantedAtMs < spanMs);
        let left = used.reduce((sum, entry) => sum + entry.tokens, 0);
        let roomMs = 0;
        const ownTokens = mostUse > 1 ? 0 : tokens * ownWeight;
        for (const entry of used) {
            if (left + ownTokens <= limit) {
                break;
            }
            left -= entry.tokens;
            roomMs = entry.grantedAtMs + spanMs - nowMs;
        }
        return roomMs;
    }

    private removeOld(nowMs: number): void {
        const firstKept = this.entries.findIndex(entry => nowMs - entry.grantedAtMs < longestSpanMs);
        this.entries.splice(0, firstKept < 0 ? this.entries.length : firstKept);
        for (const [id, grantedAtMs] of this.running) {
            if (nowMs - grantedAtMs < runTtlMs) {
                break;
            }
            this.running.delete(id);
        }
    }
}

/** Tokens of the entry that the engine has not read yet. */
function countUnread({ tokens, readAtMs, hasStarted }: Entry, { tokensPerMs }: EngineRate, nowMs: number): number {
    if (hasStarted) {
        return 0;
    }
    return nowMs - readAtMs > stalledMs ? tokens : Math.min(tokens, Math.max(0, (readAtMs - nowMs) * tokensPerMs));
}
