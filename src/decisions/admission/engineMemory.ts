/**
 * Accounting of the memory of one engine, kept by the engine's owner: the tokens that granted requests hold until they end.
 *
 * Load pattern: long prompts. Running requests and cached parts share an engine's memory. An engine has slots and prefill time for more
 * requests than fit: a request that does not fit is preempted or refused there, and an engine may crash under what it holds. A request is
 * therefore granted only if its prompt and its expected output fit beside those of the running requests.
 *
 * A shared part counts once, however many running requests begin with it. Requests whose end is not reported expire like their slots
 * in the {@link EngineBudget}.
 */
import { noSlotRetryMs, runTtlMs } from "./engineBudget.js";

/** What a request holds at the engine. */
export interface MemoryDemand {
    /** Unique over all routers. */
    readonly id: string;
    readonly sharedParts: readonly { readonly id: string; readonly tokens: number }[];
    /** Tokens of the prompt that are not in shared parts, and of the expected output. */
    readonly ownTokens: number;
}

interface Holder extends MemoryDemand {
    readonly grantedAtMs: number;
}

interface HeldPart {
    readonly tokens: number;
    holders: number;
}

/** Fraction of the memory that granted requests may hold; outputs may be longer than expected. */
const usableFraction = 0.9;
/** Weight of a run in the mean run time. */
const runTimeSmoothing = 0.1;

/** Tokens that granted requests hold at one engine. */
export class EngineMemory {
    /** In order of their grants. */
    private readonly holders = new Map<string, Holder>();
    private readonly parts = new Map<string, HeldPart>();
    private ownTokens = 0;
    private partTokens = 0;
    /** Smoothed; undefined before the first end. */
    private meanRunMs: number | undefined;

    /** Tokens that running requests hold. */
    public countHeld(nowMs: number): number {
        this.removeExpired(nowMs);
        return this.ownTokens + this.partTokens;
    }

    /** Tokens of running requests that are not in shared parts. */
    public countOwn(nowMs: number): number {
        this.removeExpired(nowMs);
        return this.ownTokens;
    }

    /** Whether a running request holds the shared part. */
    public hasPart(partId: string, nowMs: number): boolean {
        this.removeExpired(nowMs);
        return this.parts.has(partId);
    }

    /**
     * Time until the request is expected to fit; 0 if it fits, milliseconds. A request larger than the memory is left to the engine
     * once nothing else is held.
     */
    public computeWaitMs(demand: MemoryDemand, capacityTokens: number, nowMs: number): number {
        const held = this.countHeld(nowMs);
        if (held === 0 || this.holders.has(demand.id)) {
            return 0;
        }
        const added = demand.sharedParts.reduce(
            (sum, part) => sum + (this.parts.has(part.id) ? 0 : part.tokens),
            demand.ownTokens,
        );
        return held + added <= capacityTokens * usableFraction ? 0 : this.computeOldestEndMs(nowMs);
    }

    /** Records a granted request; once, however often it is received. */
    public record(demand: MemoryDemand, nowMs: number): void {
        if (this.holders.has(demand.id)) {
            return;
        }
        this.holders.set(demand.id, { ...demand, grantedAtMs: nowMs });
        this.ownTokens += demand.ownTokens;
        for (const { id, tokens } of demand.sharedParts) {
            const part = this.parts.get(id);
            if (part === undefined) {
                this.parts.set(id, { tokens, holders: 1 });
                this.partTokens += tokens;
            } else {
                part.holders += 1;
            }
        }
    }

    /** Records that a request has ended. `hasRun`: false if the engine never received it. */
    public recordEnd(id: string, hasRun: boolean, nowMs: number): void {
        const holder = this.holders.get(id);
        if (holder === undefined) {
            return;
        }
        this.remove(holder);
        if (hasRun) {
            const runMs = nowMs - holder.grantedAtMs;
            this.meanRunMs =
                this.meanRunMs === undefined ? runMs : this.meanRunMs + (runMs - this.meanRunMs) * runTimeSmoothing;
        }
    }

    private computeOldestEndMs(nowMs: number): number {
        const [oldest] = this.holders.values();
        return Math.max(noSlotRetryMs, oldest.grantedAtMs + (this.meanRunMs ?? 0) - nowMs);
    }

    private removeExpired(nowMs: number): void {
        for (const holder of this.holders.values()) {
            if (nowMs - holder.grantedAtMs < runTtlMs) {
                break;
            }
            this.remove(holder);
        }
    }

    private remove({ id, ownTokens, sharedParts }: Holder): void {
        this.holders.delete(id);
        this.ownTokens -= ownTokens;
        for (const shared of sharedParts) {
            const part = this.parts.get(shared.id);
            if (part !== undefined) {
                part.holders -= 1;
                if (part.holders === 0) {
                    this.parts.delete(shared.id);
                    this.partTokens -= part.tokens;
                }
            }
        }
    }
}
