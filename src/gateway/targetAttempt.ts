import { Attempt, type AttemptOutcome, type StopReason } from "./attempt.js";
import type { CallerExchange } from "./callerExchange.js";
import { CurrentAttempt } from "./currentAttempt.js";
import type { TargetEntry } from "./fleetSource.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { ResponseRelay } from "./responseRelay.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { Target } from "./target.js";
import { computeMaxIdleMs } from "./targetConnections.js";
import type { UnsentBody } from "./unsentResponse.js";
import { openTargetSend, type TargetSend } from "./targetSend.js";
import type { Selection, TargetSelector } from "./targetSelector.js";

/** Receives the progress of a {@link TargetAttempt}. */
export interface TargetAttemptListener {
    /** Called just before the request is written; returns false if it must not be written any more. */
    canWrite(attempt: TargetAttempt): boolean;
    /** A connection to the target has been reserved, and the request counts at the target from now on. */
    handleStarted(attempt: TargetAttempt): void;
    handleWritten(attempt: TargetAttempt): void;
    /** The target begins a successful response. */
    handleAccepted(attempt: TargetAttempt): void;
    /** Whether the caller receives the attempt's response. */
    isRelayed(attempt: TargetAttempt): boolean;
    /** A part of the request's body has been taken; undefined when the attempt has ended. */
    handleBody(attempt: TargetAttempt, body: UnsentBody | undefined): void;
    handleOutput(attempt: TargetAttempt): void;
}

/** What the attempts of a request have in common. */
export interface TargetAttemptContext {
    readonly context: GatewayContext;
    readonly caller: CallerExchange;
    readonly routed: RoutedRequest;
    readonly selector: TargetSelector;
    readonly relay: ResponseRelay;
    readonly deadlineAtMs: number;
    readonly isRepeatable: boolean;
    /** Number of tokens that the request is expected to generate. */
    readonly outputTokens: number;
}

/** Outcome, for the target's state, of an attempt that was stopped before the request was written. */
const stoppedUnsent: AttemptOutcome = { kind: "not-run", reason: "withheld", detail: "stopped before it was sent" };

/** One attempt of a request at a selected target, with what it holds there until it ends. */
export class TargetAttempt {
    private readonly held = new CurrentAttempt();
    private send: TargetSend | undefined;
    private running: Promise<AttemptOutcome> | undefined;
    /** Record of the target when the request was sent. */
    public readonly entry: TargetEntry;

    /** `number`: of the attempt among those of the request, from 1. */
    public constructor(
        private readonly options: TargetAttemptContext,
        public readonly selection: Selection,
        public readonly number: number,
        private readonly listener: TargetAttemptListener,
    ) {
        this.entry = selection.target.entry;
        this.held.open(() => selection.grant?.report("not-run"));
    }

    public get target(): Target {
        return this.selection.target;
    }

    /** Whether the request has been written to the target, which may have executed it. */
    public get isWritten(): boolean {
        return this.held.isWritten;
    }

    /** Resolves when the attempt has ended and has given back what it held. Sends the request with the first call. */
    public run(): Promise<AttemptOutcome> {
        return (this.running ??= this.sendRequest());
    }

    /** Records that the target has sent nothing for longer than the inactivity limit; the attempt goes on. */
    public recordSilence(): void {
        this.send?.recordSilence();
    }

    public stop(reason: StopReason): void {
        this.held.stop(reason);
    }

    /** Gives back what the attempt holds, after an exception. */
    public cancel(): void {
        this.held.cancel();
    }

    private async sendRequest(): Promise<AttemptOutcome> {
        const { context, routed, caller, relay, selector, deadlineAtMs, isRepeatable } = this.options;
        const { target, service } = this.selection;
        const nowMs = context.clock.nowMs();
        const maxIdleMs = computeMaxIdleMs(isRepeatable);
        const connection = target.connections.open(selector.computeConnectionLimit(service), maxIdleMs, nowMs);
        if (connection === undefined) {
            return this.endUnsent("all connections to the target are in use");
        }
        const headers = context.codec.encodeForTarget(caller.request.rawHeaders, {
            remainingMs: deadlineAtMs - nowMs,
            targetId: target.id,
            clientAccount: routed.account,
            lastEventId: relay.lastEventId,
            fetchFrom: this.selection.fetch?.from.entry.address,
        });
        const send = this.openSend();
        if (send === undefined) {
            target.connections.release(connection, nowMs);
            return this.endUnsent("the target became unavailable after its selection");
        }
        this.send = send;
        this.held.open(() => send.close({ kind: "stopped", reason: "stopping" }));
        this.listener.handleStarted(this);
        const attempt = this.createAttempt(send);
        this.held.start(attempt);
        const outcome = await attempt.run(connection, {
            method: caller.request.method ?? "GET",
            path: caller.request.url ?? "/",
            headers,
            body: routed.body,
        });
        target.connections.release(connection, context.clock.nowMs());
        this.held.close();
        send.close(outcome.kind === "stopped" && !this.isWritten ? stoppedUnsent : outcome);
        return outcome;
    }

    private endUnsent(detail: string): AttemptOutcome {
        this.held.close();
        this.selection.grant?.report("not-run");
        return { kind: "not-run", reason: "not-sent", detail };
    }

    private openSend(): TargetSend | undefined {
        const { context, routed, selector, outputTokens } = this.options;
        const { selection } = this;
        const sendId = `${routed.head.requestId ?? ""}#${this.number}`;
        return openTargetSend(selector, { context, selection, routed, sendId, outputTokens });
    }

    private createAttempt(send: TargetSend): Attempt {
        const { context, routed, relay } = this.options;
        const { target } = this;
        const { availability } = target;
        return new Attempt(routed.head.requestId, context.codec, context.clock, relay, {
            isRelayed: () => this.listener.isRelayed(this),
            canStart: () => !context.directory.isClosed(target) && this.listener.canWrite(this),
            handleSent: () => {
                this.held.recordWritten();
                this.listener.handleWritten(this);
            },
            handleBody: body => this.listener.handleBody(this, body),
            handleHead: head => context.directory.observeResponse(target, availability, head),
            handleAccepted: () => this.listener.handleAccepted(this),
            handleOutput: isFirst => {
                this.listener.handleOutput(this);
                send.handleOutput(isFirst);
            },
        });
    }
}
