import { describeError } from "../base/errors.js";
import { DisposableStore } from "../base/lifecycle.js";
import { setTimerAfterReads } from "../base/timers.js";
import { AttemptHistory } from "./attemptHistory.js";
import { AccountCharge } from "./accountCharge.js";
import { emptyAdmission, type AdmissionOutcome } from "./admissionOutcome.js";
import { RequestAdmission } from "./requestAdmission.js";
import { findPrefillShare, observeCompleteResponse } from "./completeResponse.js";
import { ResponseTiming } from "./responseTiming.js";
import type { AttemptOutcome, StopReason, NotExecutedReason } from "./attempt.js";
import { AttemptMover } from "./attemptMover.js";
import { AttemptRunner } from "./attemptRunner.js";
import type { CallerExchange } from "./callerExchange.js";
import { recordAttempt } from "./grants/recordedGrant.js";
import { createResponseRelay } from "./createResponseRelay.js";
import { describeSelection, FlowOutcomes, type FlowOutcome } from "./flowOutcomes.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { ResponseRelay } from "./responseRelay.js";
import { RequestRetries } from "./requestRetries.js";
import type { RequestGuard } from "./quarantine/requestGuard.js";
import { AttemptOutputs } from "./streams/attemptOutputs.js";
import { StreamBinding } from "./streams/streamBinding.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { Target } from "./target.js";
import type { TargetAttempt } from "./targetAttempt.js";
import { TargetSelector, type Selection, type TargetFilter } from "./targetSelector.js";

/** Processes one request: selects targets, runs the attempts and relays the response. */
export class RequestFlow {
    private readonly store = new DisposableStore();
    private readonly selector: TargetSelector;
    private readonly relay: ResponseRelay;
    private readonly tried = new Set<Target>();
    private readonly binding: StreamBinding;
    private readonly history = new AttemptHistory();
    private readonly deadlineAtMs: number;
    private readonly isRepeatable: boolean;
    private readonly outcomes: FlowOutcomes;
    private readonly attempts: AttemptRunner;
    private readonly mover: AttemptMover;
    private services: readonly string[] = [];
    private stopReason: StopReason | undefined;
    private readonly outputs = new AttemptOutputs();
    private selection: Selection | undefined;
    private recordRemovedForMs: number | undefined;
    private readonly timing: ResponseTiming;
    private readonly charge: AccountCharge;
    private readonly retries: RequestRetries;
    private admission = emptyAdmission;

    public constructor(
        private readonly context: GatewayContext,
        private readonly caller: CallerExchange,
        private readonly routed: RoutedRequest,
        private readonly watch: RequestGuard,
    ) {
        const { route, head, arrivedAtMs, body } = routed;
        this.selector = new TargetSelector(context, { bodyBytes: body?.length ?? 0, objectiveMs: route.objectiveMs });
        this.timing = new ResponseTiming(route, arrivedAtMs);
        this.charge = new AccountCharge(context, routed);
        this.retries = new RequestRetries(context, routed.account);
        this.binding = new StreamBinding(context, routed);
        this.relay = createResponseRelay(caller, context.codec, routed);
        this.outcomes = new FlowOutcomes(caller, context.codec, head.requestId, this.relay, () => ({
            attempts: this.tried.size,
            tried: this.history.tried,
            ...describeSelection(this.selection),
            readingShare: findPrefillShare(context, this.selection)?.current,
            recordRemovedForMs: this.recordRemovedForMs,
            resumedRequestId: head.resumedRequestId,
            resumedAfterId: head.lastEventId,
            eventVersions: this.outputs.versions,
            ...this.binding.details,
            ...this.timing.details,
            ...this.mover.details,
            ...this.admission,
            askedTokens: this.charge.askedTokens,
            servedTokens: this.charge.servedTokens,
        }));
        this.isRepeatable = route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
        this.deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, head.remainingMs ?? route.timeoutMs);
        const { selector, relay, deadlineAtMs, isRepeatable } = this;
        const { outputTokens } = this.charge;
        this.attempts = new AttemptRunner(
            { context, caller, routed, selector, relay, deadlineAtMs, isRepeatable, outputTokens },
            {
                handleStarted: attempt => this.handleStarted(attempt),
                handleWritten: attempt => this.handleWritten(attempt),
                handleOutput: attempt => this.handleOutput(attempt),
            },
        );
        this.mover = this.store.add(this.createMover());
    }

    private createMover(): AttemptMover {
        const { context, routed, relay, attempts, history, tried, isRepeatable } = this;
        return new AttemptMover({
            context,
            routed,
            relay,
            attempts,
            history,
            tried,
            isRepeatable,
            isOutOfTime: () => this.isOutOfTime(),
            hasRetry: () => this.watch.canRetry && this.retries.hasRetry(this.selection?.service.name ?? ""),
            takeRetry: () => this.takeRetry(),
            select: isExcluded => this.selectOther(target => isExcluded(target) || this.isExcluded(target)),
            recordGrant: selection => this.recordGrant(selection),
        });
    }

    /** Processes the request. When the promise resolves, the final response has been sent or the caller has disconnected. */
    public async run(): Promise<FlowOutcome> {
        const remainingMs = this.deadlineAtMs - this.context.clock.nowMs();
        this.store.add(setTimerAfterReads(Math.max(0, remainingMs), () => this.stop("deadline")));
        this.store.add(this.caller.token.onDidCancel(() => this.stop("left")));
        this.store.add(this.context.shutdown.token.onDidCancel(() => this.stop("stopping")));
        try {
            if (!this.canComplete()) {
                return this.outcomes.endStopping(false);
            }
            const flowOutcome = await this.runAttempts();
            if (!this.history.mayHaveBeenExecuted && flowOutcome.outcome === "refused") {
                this.charge.removeServed();
            }
            return flowOutcome;
        } catch (error) {
            return this.handleException(error);
        } finally {
            this.attempts.stop("stopping");
            this.watch.end();
            this.store.dispose();
        }
    }

    /** Gives back what the request holds, and responds to its caller. */
    private handleException(error: unknown): FlowOutcome {
        const mayHaveRun = this.history.mayHaveBeenExecuted || this.attempts.isWritten;
        const fields = { requestId: this.routed.head.requestId, detail: describeError(error) };
        this.context.logger.write("error", "processing a request failed", fields);
        this.attempts.cancel();
        if (!mayHaveRun) {
            this.charge.removeServed();
        }
        return this.outcomes.endFailed(mayHaveRun);
    }

    private async runAttempts(): Promise<FlowOutcome> {
        const services = this.selector.orderServices(this.routed.route);
        this.services = services;
        this.retries.recordFirstAttempt(services[0]);
        this.charge.recordRequested();
        const refusal = await this.binding.open(services);
        if (refusal !== undefined) {
            return this.outcomes.refuse(refusal.reason, refusal.retryAfterMs);
        }
        for (;;) {
            const selection = this.history.sent === 0 ? await this.selectFirst(services) : this.selectNext();
            if (selection === undefined) {
                return this.endWithoutTarget();
            }
            if ("outcome" in selection) {
                return selection;
            }
            const flowOutcome = await this.runAttempt(selection);
            if (flowOutcome !== undefined) {
                return flowOutcome;
            }
        }
    }

    /** Runs an attempt, and those that replace it. The final outcome of the request; undefined to start another attempt. */
    private async runAttempt(selection: Selection): Promise<FlowOutcome | undefined> {
        const stopReason = this.stopReason ?? (this.canComplete() ? undefined : "stopping");
        if (stopReason !== undefined) {
            selection.grant?.report("not-run");
            return this.handleStopped(stopReason, false);
        }
        this.selection = selection;
        this.tried.add(selection.target);
        let attempt = this.attempts.start(selection);
        for (;;) {
            const outcome = await attempt.run();
            const successor: TargetAttempt | undefined = this.attempts.findSuccessor(attempt);
            if (successor === undefined) {
                this.mover.stop();
            }
            if (this.relay.isCommitted) {
                this.binding.observeOutput(attempt.entry);
            }
            this.history.addOutcome(attempt.target.id, outcome.kind);
            const outputMs = this.outputs.computeOutputMs(attempt.number, this.context.clock.nowMs());
            const { target } = attempt;
            await this.watch.observe({ outcome, target, hadOutput: this.relay.isCommitted, outputMs });
            const flowOutcome = this.handleOutcome(outcome);
            if (flowOutcome !== undefined || successor === undefined) {
                return flowOutcome;
            }
            attempt = successor;
        }
    }

    private handleStarted({ selection }: TargetAttempt): void {
        this.selection = selection;
        this.charge.recordServed();
        this.binding.versions?.recordSent(selection.target);
    }

    /** Selects the target of a further attempt. */
    private selectNext(): Selection | undefined {
        const selection = this.selectOther(target => this.isExcluded(target));
        return selection && this.recordGrant(selection);
    }

    private selectOther(isExcluded: TargetFilter): Selection | undefined {
        const { head, route } = this.routed;
        this.binding.versions?.chooseBaseline();
        return this.selector.select(this.services, head, route.hasPrompts, isExcluded);
    }

    /** Reports a further attempt to the target's owner without asking for a grant. */
    private recordGrant(selection: Selection): Selection {
        return selection.tokensAhead === 0
            ? selection
            : { ...selection, grant: recordAttempt(this.context, selection, this.routed, this.charge.outputTokens) };
    }

    private isExcluded(target: Target): boolean {
        return this.tried.has(target) || this.binding.versions?.isAllowed(target) === false;
    }

    /** Selects the target of the first attempt, or refuses the request. */
    private async selectFirst(services: readonly string[]): Promise<Selection | FlowOutcome> {
        const { context, routed, selector } = this;
        const admission = new RequestAdmission({
            context,
            routed,
            selector,
            outputTokens: this.charge.outputTokens,
            chargedTokens: this.charge.askedTokens,
            isContinued: this.binding.isContinued,
            isExcluded: target => this.isExcluded(target),
            getRemainingMs: () => this.deadlineAtMs - context.clock.nowMs(),
        });
        const admitted = await new Promise<AdmissionOutcome>((resolve, reject) => {
            admission.check(services, resolve, reject);
        });
        if (admitted.selection === undefined && this.binding.versions?.hasFallback === true) {
            this.binding.versions.chooseBaseline();
            return this.selectFirst(services);
        }
        this.admission = admitted.details;
        if (admitted.selection === undefined) {
            return this.outcomes.refuse(admitted.reason, admitted.retryAfterMs);
        }
        return admitted.selection;
    }

    private handleWritten({ target: { removal } }: TargetAttempt): void {
        this.recordRemovedForMs = removal === undefined ? undefined : this.context.clock.nowMs() - removal.atMs;
        this.mover.recordActivity();
    }

    private handleOutput({ entry, number }: TargetAttempt): void {
        this.binding.observeOutput(entry);
        this.outputs.record(number, entry.version, this.context.clock.nowMs());
        this.timing.recordOutput(this.context.clock.nowMs());
        this.mover.recordActivity();
    }

    /** The final outcome of the request; undefined to start another attempt. */
    private handleOutcome(outcome: AttemptOutcome): FlowOutcome | undefined {
        switch (outcome.kind) {
            case "answered":
                observeCompleteResponse(this.context, {
                    selection: this.selection,
                    route: this.routed.route,
                    charge: this.charge,
                    timing: this.timing,
                    relayedEvents: this.relay.relayedEvents,
                });
                return this.outcomes.createOutcome("answered", "", 200);
            case "not-run":
                this.history.recordNotExecuted(outcome.reason);
                return this.canRetryNotExecuted(outcome.reason) ? undefined : this.endWithoutTarget();
            case "failed":
                this.history.recordExecuted(outcome.answer);
                return this.canRepeat() ? undefined : this.outcomes.sendErrorResponse(outcome.answer);
            case "broken":
                this.history.recordExecuted(undefined);
                return this.canRepeat() ? undefined : this.outcomes.endDisconnected(outcome.detail);
            case "stopped":
                return this.handleStopped(outcome.reason);
        }
    }

    /** `isWritten`: whether the attempt that was stopped had been written to its target. */
    private handleStopped(reason: StopReason, isWritten = this.attempts.isWritten): FlowOutcome | undefined {
        if (reason === "left") {
            return this.outcomes.createOutcome("left", this.caller.endReason, undefined);
        }
        if (reason === "silent") {
            this.history.recordExecuted(undefined);
            return undefined;
        }
        const mayHaveRun = this.history.mayHaveBeenExecuted || isWritten;
        return reason === "stopping" ? this.outcomes.endStopping(mayHaveRun) : this.outcomes.endTimedOut();
    }

    /** Whether a request that was not executed may go to another target; one that a target refused is charged to the retry budget. */
    private canRetryNotExecuted(reason: NotExecutedReason): boolean {
        const { maxAttempts } = this.routed.route;
        const mayRetry = !this.history.hasTooManyNotExecuted && !this.isOutOfTime();
        return mayRetry && (reason !== "refused" || (this.history.sent < maxAttempts && this.takeRetry()));
    }

    private canRepeat(): boolean {
        const mayRepeat = this.relay.isCommitted ? this.relay.canResume : this.isRepeatable;
        return (
            mayRepeat && this.history.sent < this.routed.route.maxAttempts && !this.isOutOfTime() && this.takeRetry()
        );
    }

    /** Whether no further attempt may start: the flow was stopped, its deadline has been reached, or the router stops too soon. */
    private isOutOfTime(): boolean {
        return this.stopReason !== undefined || this.context.clock.nowMs() >= this.deadlineAtMs || !this.canComplete();
    }

    /** Whether an attempt that starts now is expected to end before the router stops. */
    private canComplete(): boolean {
        return this.context.shutdown.canComplete(this.routed.route.name, this.deadlineAtMs, this.isRepeatable);
    }

    private takeRetry(): boolean {
        return this.watch.canRetry && this.retries.takeRetry(this.selection?.service.name ?? "");
    }

    private endWithoutTarget(): FlowOutcome {
        const { selector, routed } = this;
        return this.outcomes.endWithoutTarget(this.history, () =>
            selector.explainNoTarget(selector.orderServices(routed.route)),
        );
    }

    private stop(reason: StopReason): void {
        this.stopReason ??= reason;
        this.attempts.stop(reason);
    }
}
