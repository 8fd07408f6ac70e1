import type { AttemptOutcome, StopReason, NotExecutedReason } from "./attempt.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { Selection, TargetSelector } from "./targetSelector.js";
import type { RequestHead } from "./wire.js";

/** What a {@link TargetSend} is put together from. */
export interface TargetSendOptions {
    readonly context: GatewayContext;
    readonly selection: Selection;
    readonly routed: Pick<RoutedRequest, "head" | "figures" | "route">;
    readonly sendId: string;
    /** Tokens that it is expected to generate. */
    readonly outputTokens: number;
}

/** Checks that the target may still get the request, and books the send in the same step; undefined: it may not. */
export function openTargetSend(selector: TargetSelector, options: TargetSendOptions): TargetSend | undefined {
    return selector.canSend(options.selection) ? new TargetSend(options) : undefined;
}

/** Keeps the books of one send: what waits and runs at its target, and what is learnt from how it ends. */
export class TargetSend {
    private readonly startedAtMs: number;
    private readonly newParts: readonly string[];
    private isWaiting = true;
    private firstOutputMs: number | undefined;
    private outputs = 0;

    private readonly context: GatewayContext;
    private readonly selection: Selection;
    private readonly sendId: string;
    private readonly figures: RoutedRequest["figures"];
    private readonly route: string;

    /** Use {@link openTargetSend}, which checks first. */
    public constructor({ context, selection, routed, sendId, outputTokens }: TargetSendOptions) {
        this.context = context;
        this.selection = selection;
        this.sendId = sendId;
        this.figures = routed.figures;
        this.route = routed.route.name;
        const { target, newTokens } = selection;
        this.startedAtMs = context.clock.nowMs();
        target.ownRunning += 1;
        target.ownWaitingTokens += newTokens;
        target.cold.recordSend(this.startedAtMs);
        target.availability.pause.recordSend();
        target.circuit.observeStart(sendId);
        this.newParts = routed.head.promptParts.length > 0 ? this.recordParts(routed.head) : [];
        target.recordOwnWrittenTokens(newTokens + (selection.fetch?.tokens ?? 0) + outputTokens);
    }

    public handleOutput(isFirst: boolean): void {
        this.outputs += 1;
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
        if (tokensAhead > 0) {
            const tookMs = this.context.clock.nowMs() - this.startedAtMs - (fetch?.ms ?? 0);
            this.context.firstTokenModels
                .getOrCreate(service.name)
                .observe(tokensAhead, newTokens, Math.max(0, tookMs));
        }
    }

    /** Records how the send ended, and what follows for the target. */
    public close(outcome: AttemptOutcome): void {
        switch (outcome.kind) {
            case "answered":
                this.recordSuccess();
                break;
            case "broken":
                this.recordFailure();
                break;
            case "not-run":
                this.recordNotRun(outcome.reason);
                break;
            case "stopped":
                this.recordStop(outcome.reason);
                break;
            case "failed":
                // An answer of its own, such as a caller's fault, says nothing of whether the target can be reached.
                this.selection.target.circuit.observeNeutralEnd(this.sendId);
        }
        this.observeVersion(outcome);
        this.selection.grant?.report(outcome.kind === "not-run" ? "not-run" : "ended");
        this.end();
    }

    /** What the send shows of the version of its target's software. */
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
        if (tokensAhead === 0) {
            target.observeServiceTime(this.context.clock.nowMs() - this.startedAtMs);
        }
    }

    private recordNotRun(reason: NotExecutedReason): void {
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
        this.selection.target.connections.closeIdle();
        this.recordFailure();
    }

    /** The target could not be reached, broke off or went silent. */
    private recordFailure(): void {
        const { target } = this.selection;
        if (target.circuit.observeFailure(this.sendId, this.context.clock.nowMs())) {
            this.context.logger.write("warn", "a target is paused after failures", { target: target.id });
        }
        this.removeParts();
    }

    /** The send ended without telling anything of the target. */
    private recordNeutral(): void {
        this.selection.target.circuit.observeNeutralEnd(this.sendId);
        if (this.isWaiting) {
            this.removeParts();
        }
    }

    private recordParts(head: RequestHead): readonly string[] {
        const { target } = this.selection;
        const shared = head.promptParts.slice(0, -1);
        const missing = shared.filter(part => !target.hasPart(part.id));
        // The last part is the request's own or its session's, and nobody else's business.
        head.promptParts.slice(-1).forEach(part => target.recordPart(part.id, part.tokens));
        for (const part of shared) {
            if (target.recordPart(part.id, part.tokens)) {
                this.context.peers.recordPrefill(target.idHash, part.id, part.tokens);
            }
        }
        return missing.map(part => part.id);
    }

    /** What was to be read has perhaps not been: taken for held, the next request would wait longer than expected. */
    private removeParts(): void {
        for (const id of this.newParts) {
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
    }
}
