import { computeUsualMs, type EngineSpeed, type SpeedEstimate } from "../decisions/placement/engineSpeed.js";
import type { AttemptOutcome, StopReason, NotExecutedReason } from "./attempt.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { Selection, TargetSelector } from "./targetSelector.js";
import type { RequestHead } from "./wire.js";

/** Options of a {@link TargetSend}. */
export interface TargetSendOptions {
    readonly context: GatewayContext;
    readonly selection: Selection;
    readonly routed: Pick<RoutedRequest, "head" | "figures" | "route">;
    readonly sendId: string;
    /** Number of tokens that the request is expected to generate. */
    readonly outputTokens: number;
}

/** Checks that the request may still be sent to the target and records the send, in one synchronous step; undefined if it may not. */
export function openTargetSend(selector: TargetSelector, options: TargetSendOptions): TargetSend | undefined {
    return selector.canSend(options.selection) ? new TargetSend(options) : undefined;
}

/** Accounts for one send: the queued tokens and running requests of its target, and what its outcome shows about the target. */
export class TargetSend {
    private readonly startedAtMs: number;
    private readonly uncachedParts: readonly string[];
    private isWaiting = true;
    private firstOutputMs: number | undefined;
    private outputs = 0;
    private lastOutputAtMs = Number.NEGATIVE_INFINITY;
    /** Whether the target has sent nothing for longer than the inactivity limit. */
    private isSilent = false;

    /** Whether the target was silent at any time of the send; its times then don't show how long work takes. */
    private wasSilent = false;
    private isClosed = false;

    private readonly context: GatewayContext;
    private readonly selection: Selection;
    private readonly sendId: string;
    private readonly figures: RoutedRequest["figures"];
    private readonly route: string;
    /** Of the incarnation that the request is sent to. */
    private readonly speed: EngineSpeed;
    private readonly speedEstimate: SpeedEstimate;
    /** Tokens that the request holds at the target besides shared parts. */
    private readonly heldTokens: number;

    /** Use {@link openTargetSend}, which checks whether the request may be sent. */
    public constructor({ context, selection, routed, sendId, outputTokens }: TargetSendOptions) {
        this.context = context;
        this.selection = selection;
        this.sendId = sendId;
        this.figures = routed.figures;
        this.route = routed.route.name;
        const { target, newTokens } = selection;
        this.startedAtMs = context.clock.nowMs();
        this.speed = target.speed;
        this.speedEstimate = this.speed.estimate(this.startedAtMs);
        this.heldTokens = (routed.head.promptParts.at(-1)?.tokens ?? routed.head.promptTokens) + outputTokens;
        target.ownRunning += 1;
        target.ownHeldTokens += this.heldTokens;
        target.ownWaitingTokens += newTokens;
        target.cold.recordSend(this.startedAtMs);
        target.availability.pause.recordSend();
        target.circuit.observeStart(sendId);
        this.uncachedParts = routed.head.promptParts.length > 0 ? this.recordParts(routed.head) : [];
        target.recordOwnWrittenTokens(newTokens + (selection.fetch?.tokens ?? 0) + outputTokens);
    }

    /** Records that the target has sent nothing for longer than the inactivity limit: it may have failed, or resume later. */
    public recordSilence(): void {
        const { target } = this.selection;
        if (!this.isSilent) {
            this.isSilent = true;
            target.connections.closeIdle();
            target.isSilent = target.lastOutputAtMs <= Math.max(this.startedAtMs, this.lastOutputAtMs);
            if (!this.wasSilent) {
                this.wasSilent = true;
                this.recordCircuitFailure();
            }
        }
    }

    public handleOutput(isFirst: boolean): void {
        const { target } = this.selection;
        this.outputs += 1;
        this.lastOutputAtMs = this.context.clock.nowMs();
        target.recordOutput(this.lastOutputAtMs);
        if (this.isSilent) {
            this.isSilent = false;
            target.circuit.observeFirstOutput();
        }
        if (isFirst) {
            this.handleFirstOutput();
        }
    }

    private handleFirstOutput(): void {
        this.firstOutputMs = this.context.clock.nowMs() - this.startedAtMs;
        const { target, tokensAhead, newTokens, service, fetch, grant } = this.selection;
        this.endWaiting();
        this.figures.record("begun");
        grant?.report("started");
        target.circuit.observeFirstOutput();
        if (tokensAhead > 0 && !this.wasSilent) {
            const nowMs = this.context.clock.nowMs();
            const tookMs = Math.max(0, nowMs - this.startedAtMs - (fetch?.ms ?? 0));
            const model = this.context.firstTokenModels.getOrCreate(service.name);
            const sample = { tookMs, fixedMs: model.fixedMs, prefillMs: tokensAhead / model.tokensPerMs };
            this.speed.observeFirstOutput(sample, this.speedEstimate, nowMs);
            model.observe(tokensAhead, newTokens, computeUsualMs(sample, this.speedEstimate));
        }
    }

    /** Records the outcome of the send and updates the target's state; later calls do nothing. */
    public close(outcome: AttemptOutcome): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        switch (outcome.kind) {
            case "answered":
                this.recordSuccess();
                break;
            case "broken":
                this.recordFailure(outcome.isEndless);
                break;
            case "not-run":
                this.recordNotExecuted(outcome.reason);
                break;
            case "stopped":
                this.recordStop(outcome.reason);
                break;
            case "failed":
                // An error response, for example to an invalid request, does not show whether the target is healthy.
                this.selection.target.circuit.observeNeutralEnd(this.sendId);
        }
        this.observeVersion(outcome);
        this.selection.grant?.report(outcome.kind === "not-run" ? "not-run" : "ended");
        this.end();
    }

    /** Reports the outcome and the times of the send for the version of the target's software. */
    private observeVersion(outcome: AttemptOutcome): void {
        const { target, expectedMs } = this.selection;
        const { firstOutputMs, outputs } = this;
        const tookMs = this.context.clock.nowMs() - this.startedAtMs;
        const msPerOutput =
            firstOutputMs === undefined || outputs < 2 ? undefined : (tookMs - firstOutputMs) / (outputs - 1);
        const times = { firstOutputMs: firstOutputMs ?? tookMs, expectedMs, msPerOutput };
        this.context.rollouts.observe({ target, route: this.route, outcome, times, sentAtMs: this.startedAtMs });
    }

    private recordSuccess(): void {
        const { target, tokensAhead } = this.selection;
        target.circuit.observeSuccess();
        if (tokensAhead === 0 && !this.wasSilent) {
            const nowMs = this.context.clock.nowMs();
            const tookMs = nowMs - this.startedAtMs;
            this.speed.observeServiceTime(tookMs, target.serviceTimeMs, this.speedEstimate);
            target.observeServiceTime(tookMs / this.speedEstimate.reportRatio);
        }
    }

    private recordNotExecuted(reason: NotExecutedReason): void {
        if (reason === "not-sent") {
            this.recordFailure();
            return;
        }
        this.recordNeutral();
        if (reason === "other-target") {
            this.context.directory.removeReassigned(this.selection.target);
        }
    }

    private recordStop(reason: StopReason): void {
        if (reason !== "silent") {
            this.recordNeutral();
            return;
        }
        this.recordSilence();
        this.removeParts();
    }

    /** The target was unreachable or disconnected. */
    private recordFailure(isEndless = false): void {
        this.recordCircuitFailure(isEndless);
        this.removeParts();
    }

    private recordCircuitFailure(isEndless = false): void {
        const { target } = this.selection;
        if (target.circuit.observeFailure(this.sendId, this.context.clock.nowMs(), isEndless)) {
            this.context.logger.write("warn", "target paused after failures", { target: target.id });
        }
    }

    /** The outcome of the send shows nothing about the target's health. */
    private recordNeutral(): void {
        this.selection.target.circuit.observeNeutralEnd(this.sendId);
        if (this.isWaiting) {
            this.removeParts();
        }
    }

    private recordParts(head: RequestHead): readonly string[] {
        const { target } = this.selection;
        const shared = head.promptParts.slice(0, -1);
        const uncached = shared.filter(part => !target.hasPart(part.id));
        // The last part belongs to this request or its session only, so it is not reported to peers.
        head.promptParts.slice(-1).forEach(part => target.recordPart(part.id, part.tokens));
        for (const part of shared) {
            if (target.recordPart(part.id, part.tokens)) {
                this.context.peers.recordPrefill(target.idHash, part.id, part.tokens);
            }
        }
        return uncached.map(part => part.id);
    }

    /** Removes parts that may not have been prefilled; if they counted as cached, the next request would wait longer than expected. */
    private removeParts(): void {
        for (const id of this.uncachedParts) {
            this.selection.target.removePart(id);
        }
    }

    private endWaiting(): void {
        if (this.isWaiting) {
            this.isWaiting = false;
            this.selection.target.ownWaitingTokens -= this.selection.newTokens;
        }
    }

    private end(): void {
        this.endWaiting();
        this.selection.target.ownRunning -= 1;
        this.selection.target.ownHeldTokens -= this.heldTokens;
    }
}
