/**
 * Budget of prompt tokens that one engine is granted for prefill, kept in a single place: the router that owns the engine.
 *
 * Load pattern: many routers choose engines by replicated state about one another's sends. The older this state is, the more routers
 * choose the same engine, which looks idle to all of them; and above saturation every engine receives a new prompt as soon as its
 * prefill queue is empty, so that its running streams never receive a token. The owner's accounting is exact for its engine, however
 * old the replicated state is.
 *
 * An engine generates no tokens for its streams during prefill. Within any window as long as the pause objective it is therefore granted
 * at most a fraction of the tokens that it can prefill in that time, and generates tokens in the rest. Grants expire with the window, so
 * that a grant whose request was never sent, or whose end was not reported, blocks capacity only briefly.
 */

/** A router's request for a grant, sent to the owner of an engine. */
export interface PrefillRequest {
    /** Unique over all routers. */
    readonly id: string;
    /** Prompt tokens of the request that the engine has to prefill. */
    readonly tokens: number;
    /** Maximum number of prompt tokens queued at the engine before the request. */
    readonly maxQueuedTokens: number;
    /** Maximum fraction of the engine's limit that may be in use including this request; above 1 if it may exceed the limit. */
    readonly maxUsage: number;
    /** Whether less of the request's own tokens has to fit into the limit, as its account has been served less than others. */
    readonly isPreferred?: boolean;
    /** Time until the engine's memory has room for the request; milliseconds, 0 if it has or when left out. */
    readonly memoryWaitMs?: number;
    /** Window of the limit: the longest pause that the engine's streams tolerate; milliseconds. */
    readonly windowMs: number;
}

/** Speed and limits of an engine. */
export interface EngineRate {
    readonly tokensPerMs: number;
    readonly slots: number;
    /** Fraction of any window that the engine may spend on prefill, above 0. */
    readonly readingShare: number;
}

/** The owner's decision on a grant. */
export interface PrefillDecision {
    readonly granted: boolean;
    /** Prompt tokens queued at the engine before the request. */
    readonly queuedTokens: number;
    /** Fraction of the window's prefill capacity that is granted, including this request if it is granted. */
    readonly usage: number;
    /** Time after which an equal request could be granted; milliseconds, 0 if this one is granted. */
    readonly retryAfterMs: number;
    /** Granted fraction of the engine's limit in the window before the request. */
    readonly limitUsage: number;
    /** Further fraction of the limit that the request would need if nothing but its fraction denies it; otherwise 0. */
    readonly missingUsage: number;
}

interface Grant {
    readonly id: string;
    readonly tokens: number;
    readonly grantedAtMs: number;
    /** Expected end of the prefill, at the engine's measured speed. */
    readonly prefilledAtMs: number;
    hasStarted: boolean;
}

/** Maximum window of any request; older grants are removed. */
const maxWindowMs = 2_000;
/** A request whose end has not been reported within this time is assumed to have ended or to be lost. */
export const runTtlMs = 20_000;
/** A prompt that has no output this long after its expected prefill is delayed by a stalled engine and counts as queued again. */
const stallTimeoutMs = 1_000;
/**
 * Fraction of a request's own tokens that must fit into the limit. If all of them had to fit, long prompts would wait for capacity that
 * short prompts take first. Requests that may exceed the limit need no capacity for their own tokens.
 */
const ownTokensWeight = 0.5;
/** The same for preferred requests: without any, long prompts would exceed the limit and delay requests of accounts within their share. */
const preferredOwnTokensWeight = 0.2;
/** Retry delay for an engine without a free slot; about the time in which one of its streams ends. */
export const noSlotRetryMs = 100;

/** Accounting of the grants of one engine. */
export class EngineBudget {
    /** Grants in order of their times. */
    private entries: Grant[] = [];
    private readonly running = new Map<string, number>();

    /** Number of granted requests that have not ended. */
    public countRunning(nowMs: number): number {
        this.removeOld(nowMs);
        return this.running.size;
    }

    /** Prompt tokens queued for prefill. */
    public countQueuedTokens(rate: EngineRate, nowMs: number): number {
        this.removeOld(nowMs);
        return this.entries.reduce((sum, grant) => sum + countRemainingTokens(grant, rate, nowMs), 0);
    }

    /** Granted fraction of the engine's limit in the window. */
    public computeLimitUsage(rate: EngineRate, windowMs: number, nowMs: number): number {
        this.removeOld(nowMs);
        return this.countUsed(windowMs, nowMs) / (rate.tokensPerMs * windowMs * rate.readingShare);
    }

    /** Decides on a request and records the grant. A request that is received twice is recorded once. */
    public check(request: PrefillRequest, rate: EngineRate, nowMs: number): PrefillDecision {
        const queuedTokens = this.countQueuedTokens(rate, nowMs);
        const windowTokens = rate.tokensPerMs * request.windowMs;
        const usedTokens = this.countUsed(request.windowMs, nowMs);
        const limit = windowTokens * rate.readingShare;
        const limitUsage = usedTokens / limit;
        if (this.running.has(request.id)) {
            const usage = usedTokens / windowTokens;
            return { granted: true, queuedTokens, usage, retryAfterMs: 0, limitUsage, missingUsage: 0 };
        }
        const engineMs = Math.max(
            this.running.size >= rate.slots ? noSlotRetryMs : 0,
            request.memoryWaitMs ?? 0,
            Math.max(0, queuedTokens - request.maxQueuedTokens) / rate.tokensPerMs,
        );
        const capacityMs = this.computeCapacityMs(request, limit * request.maxUsage, nowMs);
        const retryAfterMs = Math.max(engineMs, capacityMs);
        const granted = retryAfterMs === 0;
        const isDeniedByFraction = engineMs === 0 && capacityMs > 0;
        const neededUsage = (usedTokens + countOwnTokens(request)) / limit;
        const missingUsage = isDeniedByFraction ? Math.max(0, neededUsage - request.maxUsage) : 0;
        if (granted) {
            this.record(request, rate, nowMs);
        }
        const usage = (usedTokens + (granted ? request.tokens : 0)) / windowTokens;
        return { granted, queuedTokens, usage, retryAfterMs, limitUsage, missingUsage };
    }

    /** Records a request that is sent regardless of the limit. */
    public record({ id, tokens }: Pick<PrefillRequest, "id" | "tokens">, rate: EngineRate, nowMs: number): void {
        if (!this.running.has(id)) {
            const freeAtMs = this.entries[this.entries.length - 1]?.prefilledAtMs ?? nowMs;
            const prefilledAtMs = Math.max(nowMs, freeAtMs) + tokens / rate.tokensPerMs;
            this.entries.push({ id, tokens, grantedAtMs: nowMs, prefilledAtMs, hasStarted: false });
            this.running.set(id, nowMs);
        }
    }

    /** Records that the engine has completed the prefill of the prompt. */
    public recordStart(id: string): void {
        const grant = this.entries.find(candidate => candidate.id === id);
        if (grant !== undefined) {
            grant.hasStarted = true;
        }
    }

    /** Records that the request has ended. `hasRun`: false if the engine never received the request; its grant is then revoked. */
    public recordEnd(id: string, hasRun: boolean): void {
        this.running.delete(id);
        if (hasRun) {
            this.recordStart(id);
        } else {
            this.entries = this.entries.filter(grant => grant.id !== id);
        }
    }

    private countUsed(windowMs: number, nowMs: number): number {
        return this.entries.reduce((sum, grant) => sum + (nowMs - grant.grantedAtMs < windowMs ? grant.tokens : 0), 0);
    }

    /** Time until the limit has capacity for the request; a prompt larger than the limit waits until no grant is in the window. */
    private computeCapacityMs(request: PrefillRequest, limit: number, nowMs: number): number {
        const { windowMs } = request;
        const used = this.entries.filter(grant => nowMs - grant.grantedAtMs < windowMs);
        let activeTokens = used.reduce((sum, grant) => sum + grant.tokens, 0);
        let capacityMs = 0;
        const ownTokens = countOwnTokens(request);
        for (const grant of used) {
            if (activeTokens + ownTokens <= limit) {
                break;
            }
            activeTokens -= grant.tokens;
            capacityMs = grant.grantedAtMs + windowMs - nowMs;
        }
        return capacityMs;
    }

    private removeOld(nowMs: number): void {
        const firstKept = this.entries.findIndex(grant => nowMs - grant.grantedAtMs < maxWindowMs);
        this.entries.splice(0, firstKept < 0 ? this.entries.length : firstKept);
        for (const [id, grantedAtMs] of this.running) {
            if (nowMs - grantedAtMs < runTtlMs) {
                break;
            }
            this.running.delete(id);
        }
    }
}

/** Tokens of the request that must fit into the limit. */
function countOwnTokens({ tokens, maxUsage, isPreferred = false }: PrefillRequest): number {
    const weight = isPreferred ? preferredOwnTokensWeight : ownTokensWeight;
    return maxUsage > 1 ? 0 : tokens * weight;
}

/** Tokens of a grant that the engine has not prefilled yet. */
function countRemainingTokens(
    { tokens, prefilledAtMs, hasStarted }: Grant,
    { tokensPerMs }: EngineRate,
    nowMs: number,
): number {
    if (hasStarted) {
        return 0;
    }
    return nowMs - prefilledAtMs > stallTimeoutMs
        ? tokens
        : Math.min(tokens, Math.max(0, (prefilledAtMs - nowMs) * tokensPerMs));
}
