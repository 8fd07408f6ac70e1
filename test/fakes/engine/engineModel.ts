import type { Clock } from "../../../src/base/clock.js";
import type { EventRecorder } from "../../../src/events/fleetEvent.js";
import { EngineRun, type ChatRequest } from "./engineRun.js";
import { PrefixCache } from "./prefixCache.js";

/** How the stand-in engine behaves. */
export interface EngineOptions {
    readonly target: string;
    readonly models: readonly string[];
    /** Requests in the batch at once; more wait in the engine's own queue. */
    readonly maxConcurrent: number;
    /** Requests the engine bears while cold; one more makes it fall over. */
    readonly coldLimit: number;
    readonly coldMs: number;
    /** Time of one step of the batch: one token for each running request. */
    readonly tokenMs: number;
    /** How old the figures of the load report are. */
    readonly loadLagMs: number;
    /** How long a run whose reader left goes on, so that its stream can be resumed. */
    readonly resumeMs: number;
    readonly checksFencing: boolean;
}

/** Faults: `cold` loses all runs, `break` only their connections, `refuse` answers 503, `hang` generates nothing. */
export type EngineFault = "ok" | "cold" | "break" | "refuse" | "hang" | "slow";

/** An order as the engine took or refused it. */
export interface TakenOrder {
    readonly kind: string;
    readonly name: string;
    readonly fencing: number;
    readonly accepted: boolean;
}

interface LoadSample {
    readonly atMs: number;
    readonly running: number;
    readonly waiting: number;
    readonly cold: boolean;
}

const coldSlowdown = 3;
const promptTokensPerTick = 512;
const loadSamplesKept = 4096;

/** A model engine's behaviour: continuous batching, cold start, prefix cache, lagging load, fencing. */
export class EngineModel {
    private readonly runs: EngineRun[] = [];
    private readonly orders: TakenOrder[] = [];
    private readonly loads: LoadSample[] = [];
    private readonly models: Set<string>;
    private isCold = true;
    private highestFencing = -1;
    private fault: EngineFault = "ok";
    private slowFactor = 1;
    private timer: NodeJS.Timeout | undefined;
    private coldTimer: NodeJS.Timeout | undefined;
    private maxOpen = 0;
    private maxOpenWhileCold = 0;
    private coldSinceMs = 0;
    /** How long the engine had been cold each time it got more than it bears. */
    private readonly overloads: { readonly coldForMs: number; readonly open: number }[] = [];
    private fallCount = 0;
    public readonly cache: PrefixCache;

    public constructor(
        public readonly options: EngineOptions,
        private readonly clock: Clock,
        private readonly recorder: EventRecorder,
    ) {
        this.models = new Set(options.models);
        this.cache = new PrefixCache(clock);
        this.applyCold("started");
    }

    public hasModel(name: string): boolean {
        return this.models.has(name);
    }

    public listModels(): readonly string[] {
        return [...this.models];
    }

    public get isRefusing(): boolean {
        return this.fault === "refuse";
    }

    /** Admits a request into the batch. The returned run is already broken if the engine fell over. */
    public start(id: string, request: ChatRequest): EngineRun {
        const nowMs = this.clock.nowMs();
        const run = new EngineRun(id, request, nowMs, Math.floor(this.clock.nowDate().getTime() / 1000));
        this.runs.push(run);
        this.recorder.record({ kind: "target-run", requestId: id, target: this.options.target, service: run.model });
        const cached = this.cache.add(run.prefixHash);
        run.prefillTicks = cached ? 0 : Math.floor(run.promptTokens / promptTokensPerTick);
        const open = this.listOpen().length;
        this.maxOpen = Math.max(this.maxOpen, open);
        if (this.isCold) {
            this.maxOpenWhileCold = Math.max(this.maxOpenWhileCold, open);
        }
        if (this.isCold && open > this.options.coldLimit) {
            this.fallCount++;
            this.overloads.push({ coldForMs: Math.round(nowMs - this.coldSinceMs), open });
            this.applyCold("fell over");
        }
        this.promoteWaiting();
        this.recordLoad();
        this.advanceLater();
        return run;
    }

    /** The newest run with this id. */
    public find(id: string): EngineRun | undefined {
        return this.runs.findLast(run => run.id === id);
    }

    /** Stops a run; its slot is free at once. */
    public cancel(run: EngineRun): void {
        if (run.isOpen) {
            this.close(run, "cancelled");
            this.promoteWaiting();
            this.recordLoad();
        }
    }

    /** A reader left: the run goes on for a while so that the stream can be resumed, then ends. */
    public releaseReader(run: EngineRun): void {
        run.readers--;
        if (run.readers > 0 || !run.isOpen) {
            return;
        }
        setTimeout(() => {
            if (run.readers === 0) {
                this.cancel(run);
            }
        }, this.options.resumeMs).unref();
    }

    /** The load report: figures as they were a while ago. */
    public getLoad(): Omit<LoadSample, "atMs"> {
        const until = this.clock.nowMs() - this.options.loadLagMs;
        const sample = this.loads.findLast(load => load.atMs <= until);
        return { running: sample?.running ?? 0, waiting: sample?.waiting ?? 0, cold: sample?.cold ?? true };
    }

    /** Takes an order, or refuses it for its old fencing number if this engine checks. */
    public takeOrder(
        kind: string,
        name: string,
        fencing: number,
    ): { readonly accepted: boolean; readonly highest: number } {
        const accepted = !this.options.checksFencing || fencing >= this.highestFencing;
        this.orders.push({ kind, name, fencing, accepted });
        this.highestFencing = Math.max(this.highestFencing, fencing);
        if (accepted && (kind === "load-model" || kind === "load-adapter")) {
            this.models.add(name);
        }
        return { accepted, highest: this.highestFencing };
    }

    public listOrders(): readonly TakenOrder[] {
        return this.orders;
    }

    /** Switches a fault on; `ok` ends it. */
    public setFault(fault: EngineFault, factor: number): void {
        this.fault = fault;
        this.slowFactor = fault === "slow" ? factor : 1;
        if (fault === "cold") {
            this.applyCold("turned cold");
        }
        if (fault === "break") {
            this.listOpen().forEach(run => run.closeConnections());
        }
        if (fault === "cold" || fault === "break") {
            this.fault = "ok";
        }
        this.recordLoad();
        this.advanceLater();
    }

    /** What ran here, for checks. */
    public describeRuns(): unknown {
        return {
            maxOpen: this.maxOpen,
            maxOpenWhileCold: this.maxOpenWhileCold,
            coldLimit: this.options.coldLimit,
            falls: this.fallCount,
            overloads: this.overloads,
            cold: this.isCold,
            open: this.listOpen().length,
            runs: this.runs.map(run => ({
                requestId: run.id,
                model: run.model,
                state: run.state,
                promptDigest: run.promptDigest,
                promptTokens: run.promptTokens,
                generatedTokens: run.generatedTokens,
                answerDigest: run.answerDigest,
                arrivedAtMs: run.arrivedAtMs,
                endedAtMs: run.endedAtMs,
            })),
        };
    }

    private listOpen(): readonly EngineRun[] {
        return this.runs.filter(run => run.isOpen);
    }

    private promoteWaiting(): void {
        const open = this.listOpen();
        let room = this.options.maxConcurrent - open.filter(run => run.state === "running").length;
        for (const run of open) {
            if (run.state === "waiting" && room > 0) {
                run.state = "running";
                room--;
            }
        }
    }

    private advanceLater(): void {
        if (this.timer !== undefined || this.listOpen().length === 0) {
            return;
        }
        const slowdown = (this.isCold ? coldSlowdown : 1) * this.slowFactor;
        this.timer = setTimeout(() => {
            this.timer = undefined;
            this.advanceBatch();
            this.advanceLater();
        }, this.options.tokenMs * slowdown);
    }

    private advanceBatch(): void {
        if (this.fault === "hang") {
            return;
        }
        for (const run of this.listOpen().filter(candidate => candidate.state === "running")) {
            if (run.advance()) {
                this.close(run, "completed");
            } else {
                run.fireAdvanced();
            }
        }
        this.promoteWaiting();
        this.recordLoad();
    }

    private close(run: EngineRun, state: "completed" | "cancelled" | "broken"): void {
        run.close(state, this.clock.nowMs());
        this.recorder.record({
            kind: "request-ended",
            requestId: run.id,
            target: this.options.target,
            service: run.model,
            reason: state,
            value: run.generatedTokens,
            digest: run.answerDigest,
        });
    }

    private applyCold(reason: string): void {
        this.listOpen().forEach(run => this.close(run, "broken"));
        this.isCold = true;
        this.coldSinceMs = this.clock.nowMs();
        this.recorder.record({
            kind: "target-cold",
            target: this.options.target,
            reason,
            value: this.options.coldLimit,
        });
        this.recordLoad();
        clearTimeout(this.coldTimer);
        this.coldTimer = setTimeout(() => this.applyWarm(), this.options.coldMs);
    }

    private applyWarm(): void {
        this.isCold = false;
        this.recorder.record({ kind: "target-warm", target: this.options.target });
        this.recordLoad();
    }

    private recordLoad(): void {
        const open = this.listOpen();
        const running = open.filter(run => run.state === "running").length;
        this.loads.push({ atMs: this.clock.nowMs(), running, waiting: open.length - running, cold: this.isCold });
        if (this.loads.length > loadSamplesKept) {
            this.loads.splice(0, loadSamplesKept / 2);
        }
    }
}
