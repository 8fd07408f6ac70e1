import type { RetryAfter } from "../../src/base/retryAfter.js";
import type { Target } from "../../src/gateway/target.js";
import type { TargetSignals } from "../../src/gateway/wire.js";
import type { ModelRouter } from "./modelRouter.js";

/** What routers take notice of. */
export type NoticedSignals = "records" | "own-answers" | "answers-and-peers";

/** Engines that leave, or turn requests away, as only their answers show; their records stay ready. */
export interface EngineSignalOptions {
    readonly noticed: NoticedSignals;
    /** The first engines leave from a time on, and end later. */
    readonly leaving?: { readonly count: number; readonly atMs: number; readonly lingerMs: number };
    /** The first engines turn all requests away within a time, and each time ask for a pause. */
    readonly pausing?: {
        readonly count: number;
        readonly fromMs: number;
        readonly toMs: number;
        readonly pauseMs: number;
    };
}

/** What routers did to engines that leave or pause. */
export interface SignalFigures {
    /** Requests sent to engines that were leaving. */
    sentToLeaving: number;
    /** Of these, sent by a router that had passed on an answer which says so, later than the bound after it. */
    sentLate: number;
    /** Streams that ended with their engine. */
    cut: number;
    /** Requests that engines turned away. */
    turnedAway: number;
    /** Arrivals from one router, beyond two, between half a second after a refusal and the end of the pause it asks for. */
    sentInPause: number;
}

/** Bounds of the platform's deployments. */
const drainMs = 2_000;
const pauseSlackMs = 500;
const mostInPause = 2;
const noPause: RetryAfter = { kind: "none" };

/** Gives engines' answers their signals, and counts what routers make of them. */
export class EngineSignals {
    public readonly figures: SignalFigures = { sentToLeaving: 0, sentLate: 0, cut: 0, turnedAway: 0, sentInPause: 0 };
    /** When a router first passed on an answer of a leaving engine. */
    private readonly passedAtMs = new Map<string, number>();
    /** Refusals of an engine to a router, and arrivals in the pause that each asks for. */
    private readonly refusals = new Map<string, { readonly atMs: number; arrivals: number }[]>();

    public constructor(private readonly options: EngineSignalOptions) {}

    /** Whether the engine leaves, by its place among the engines. */
    public isLeaving(engineIndex: number, nowMs: number): boolean {
        const { leaving } = this.options;
        return leaving !== undefined && engineIndex < leaving.count && nowMs >= leaving.atMs;
    }

    /** A request reaches an engine; true: it is turned away. */
    public receiveSend(router: ModelRouter, target: Target, engineIndex: number, nowMs: number): boolean {
        const pair = formatPair(router, target);
        if (this.isLeaving(engineIndex, nowMs)) {
            const passedAtMs = this.passedAtMs.get(pair) ?? Number.POSITIVE_INFINITY;
            this.figures.sentToLeaving += 1;
            this.figures.sentLate += nowMs > passedAtMs + drainMs ? 1 : 0;
        }
        const { pausing } = this.options;
        if (pausing === undefined) {
            return false;
        }
        this.countInPause(pair, nowMs, pausing.pauseMs);
        const isRefused = engineIndex < pausing.count && nowMs >= pausing.fromMs && nowMs < pausing.toMs;
        if (isRefused) {
            this.figures.turnedAway += 1;
            this.refusals.set(pair, [...(this.refusals.get(pair) ?? []), { atMs: nowMs, arrivals: 0 }]);
            this.observe(router, target, { isLeaving: false, pause: { kind: "wait", ms: pausing.pauseMs } });
        }
        return isRefused;
    }

    /** The head of an engine's answer reaches a router. */
    public handleAnswer(router: ModelRouter, target: Target, engineIndex: number, nowMs: number): void {
        if (this.isLeaving(engineIndex, nowMs)) {
            const pair = formatPair(router, target);
            this.passedAtMs.set(pair, this.passedAtMs.get(pair) ?? nowMs);
            this.observe(router, target, { isLeaving: true, pause: noPause });
        }
    }

    private countInPause(pair: string, nowMs: number, pauseMs: number): void {
        const open = (this.refusals.get(pair) ?? []).filter(({ atMs }) => nowMs < atMs + pauseMs);
        this.refusals.set(pair, open);
        for (const refusal of open.filter(({ atMs }) => nowMs > atMs + pauseSlackMs)) {
            refusal.arrivals += 1;
            this.figures.sentInPause += refusal.arrivals > mostInPause ? 1 : 0;
        }
    }

    private observe({ directory }: ModelRouter, target: Target, signals: TargetSignals): void {
        if (this.options.noticed !== "records") {
            directory.observeSignals(target, target.availability, signals);
        }
    }
}

function formatPair(router: ModelRouter, target: Target): string {
    return `${router.context.settings.daemonId} ${target.id}`;
}
