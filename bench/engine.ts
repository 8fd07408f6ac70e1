import { IndexedHeap } from "../src/decisions/structures/indexedHeap.js";

/** How a model engine behaves. Times in milliseconds. */
export interface EngineOptions {
    readonly maxConcurrent: number;
    readonly coldLimit: number;
    /** Time of one generated token when alone. */
    readonly msPerToken: number;
    /** Each further request in the batch makes all slower by this share. */
    readonly batchSlowdown: number;
    /** Time of one prompt token that is not cached. */
    readonly prefillMsPerToken: number;
    /** Prefixes that the cache holds. */
    readonly cachedPrefixes: number;
    /** How long a cold start lasts. */
    readonly coldForMs: number;
    /** How many times slower a cold engine is. */
    readonly coldSlowdown: number;
}

/** What an engine is given. */
export interface EngineJob {
    readonly id: string;
    readonly promptTokens: number;
    readonly generatedTokens: number;
    readonly prefixHash: string | undefined;
}

/** What happened to a job; `tokens` since its last progress. */
export interface EngineEvent {
    readonly kind: "first" | "progress" | "end" | "broken";
    readonly id: string;
    readonly tokens: number;
}

interface Run {
    readonly job: EngineJob;
    /** Work units of the engine's virtual time at which generation begins. */
    readonly decodeFrom: number;
    generated: number;
}

/** Generated tokens between two progress events; streams report about once a second. */
const progressTokens = 32;
/** Work that a cached prefix leaves. */
const cachedShare = 0.1;

/**
 * A model engine with continuous batching: all running jobs share it evenly, the more the slower each. Its work is
 * counted on a virtual clock that runs slower the fuller the batch, so that each step costs the logarithm of the batch.
 * While cold it is slow, and more than `coldLimit` jobs at once make it fall over: all jobs break off, and it is cold anew.
 */
export class Engine {
    private readonly runs = new Map<string, Run>();
    /** Next milestone of each run on the virtual clock. */
    private readonly milestones = new IndexedHeap<string>();
    private readonly cache = new Map<string, true>();
    private virtualMs = 0;
    private updatedAtMs = 0;
    private coldUntilMs = 0;
    /** How many times slower than usual. */
    private slowness = 1;
    /** Jobs started while the cold limit was reached. */
    public startsOverColdLimit = 0;

    public constructor(public readonly options: EngineOptions) {}

    public get running(): number {
        return this.runs.size;
    }

    public isCold(nowMs: number): boolean {
        return nowMs < this.coldUntilMs;
    }

    /** Slots that may be used now. */
    public getCapacity(nowMs: number): number {
        return this.isCold(nowMs) ? this.options.coldLimit : this.options.maxConcurrent;
    }

    /** Adds a job to the batch; a cold engine that can't bear it falls over. */
    public start(job: EngineJob, nowMs: number): readonly EngineEvent[] {
        this.update(nowMs);
        const prefillMs = job.promptTokens * this.options.prefillMsPerToken * (this.isCached(job) ? cachedShare : 1);
        this.runs.set(job.id, { job, decodeFrom: this.virtualMs + prefillMs, generated: 0 });
        this.milestones.set(job.id, this.virtualMs + prefillMs + this.options.msPerToken);
        if (this.isCold(nowMs) && this.runs.size > this.options.coldLimit) {
            this.startsOverColdLimit += 1;
            return this.handleColdStart(nowMs);
        }
        return [];
    }

    public cancel(id: string, nowMs: number): void {
        this.update(nowMs);
        this.runs.delete(id);
        this.milestones.remove(id);
    }

    /** Restarts cold: everything that runs breaks off. */
    public handleColdStart(nowMs: number): readonly EngineEvent[] {
        this.update(nowMs);
        this.coldUntilMs = nowMs + this.options.coldForMs;
        this.cache.clear();
        const broken = [...this.runs.keys()].map(id => ({ kind: "broken" as const, id, tokens: 0 }));
        this.runs.clear();
        broken.forEach(event => this.milestones.remove(event.id));
        return broken;
    }

    public setSlowness(slowness: number, nowMs: number): void {
        this.update(nowMs);
        this.slowness = slowness;
    }

    /** When the next event comes if nothing changes before. */
    public nextAtMs(): number | undefined {
        const least = this.milestones.getMin();
        if (least === undefined) {
            return undefined;
        }
        const atMs = this.updatedAtMs + Math.max(0, least.priority - this.virtualMs) / this.getSpeed(this.updatedAtMs);
        const warmAtMs = this.coldUntilMs;
        return this.updatedAtMs < warmAtMs && warmAtMs < atMs ? warmAtMs : atMs;
    }

    /** The events that have happened by now. */
    public advance(nowMs: number): readonly EngineEvent[] {
        this.update(nowMs);
        const events: EngineEvent[] = [];
        for (let least = this.milestones.getMin(); least !== undefined; least = this.milestones.getMin()) {
            if (least.priority > this.virtualMs + roundingMs) {
                break;
            }
            this.handleMilestone(least.key, events);
        }
        return events;
    }

    private handleMilestone(id: string, events: EngineEvent[]): void {
        const run = this.runs.get(id);
        if (run === undefined) {
            this.milestones.remove(id);
            return;
        }
        const total = run.job.generatedTokens;
        const reached = Math.min(total, run.generated === 0 ? 1 : run.generated + progressTokens);
        const tokens = reached - run.generated;
        events.push({ kind: run.generated === 0 ? "first" : "progress", id, tokens });
        run.generated = reached;
        if (reached < total) {
            const next = Math.min(total, reached + progressTokens);
            this.milestones.set(id, run.decodeFrom + next * this.options.msPerToken);
            return;
        }
        events.push({ kind: "end", id, tokens: 0 });
        this.runs.delete(id);
        this.milestones.remove(id);
    }

    /** Moves the virtual clock; the batch has not changed since the last call, but a cold start may have ended. */
    private update(nowMs: number): void {
        const warmAtMs = this.coldUntilMs;
        if (this.updatedAtMs < warmAtMs && warmAtMs < nowMs) {
            this.virtualMs += (warmAtMs - this.updatedAtMs) * this.getSpeed(this.updatedAtMs);
            this.updatedAtMs = warmAtMs;
        }
        this.virtualMs += (nowMs - this.updatedAtMs) * this.getSpeed(this.updatedAtMs);
        this.updatedAtMs = nowMs;
    }

    private getSpeed(nowMs: number): number {
        const batch = 1 + this.options.batchSlowdown * Math.max(0, this.runs.size - 1);
        return 1 / (batch * this.slowness * (this.isCold(nowMs) ? this.options.coldSlowdown : 1));
    }

    private isCached(job: EngineJob): boolean {
        const { prefixHash } = job;
        if (prefixHash === undefined) {
            return false;
        }
        const isHit = this.cache.delete(prefixHash);
        this.cache.set(prefixHash, true);
        if (this.cache.size > this.options.cachedPrefixes) {
            this.cache.delete([...this.cache.keys()][0] ?? "");
        }
        return isHit;
    }
}

/** Rounding of the virtual clock; far below anything that is measured. */
const roundingMs = 1e-6;
