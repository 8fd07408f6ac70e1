import type { PlacementCost } from "../decisions/placement/promptPlacement.js";
import type { AttemptHistory } from "./attemptHistory.js";
import type { CallerExchange } from "./callerExchange.js";
import { createRouterResponse, type RouterResponseReason } from "./routerResponse.js";
import type { MoveDetails } from "./attemptMover.js";
import type { AdmissionDetails } from "./admissionOutcome.js";
import type { TimingDetails } from "./responseTiming.js";
import type { ResponseRelay, StoredResponse } from "./responseRelay.js";
import type { BindingDetails } from "./streams/streamBinding.js";
import type { NoTargetExplanation, Selection } from "./targetSelector.js";
import type { HeaderCodec } from "./wire.js";

/** The last selection of a request; members are undefined if there was none. */
export interface SelectionDetails {
    readonly target: string | undefined;
    /** Version of the target's software. */
    readonly version: string | undefined;
    readonly service: string | undefined;
    /** Expected time to the first event at the target; milliseconds. */
    readonly expectedMs: number | undefined;
    /** Prompt tokens queued at the target, including those of this request. */
    readonly tokensAhead: number | undefined;
    /** Prompt tokens of this request that were expected not to be cached at the target, so that it had to prefill them. */
    readonly newTokens: number | undefined;
    /** Prompt tokens that the target was to copy from another one. */
    readonly fetchedTokens: number | undefined;
    /** Share of the target's prefill time that its owner had granted, including this request; undefined without a grant. */
    readonly engineUse: number | undefined;
    /** The target's last report of its slowdown; undefined if it never reported one. */
    readonly slowdown: number | undefined;
    /** Estimated time per unit of work at the target relative to the usual one when it was selected. */
    readonly speedFactor: number | undefined;
    /** Prefill of cached tokens that was saved at the target, and the wait in its queue that was paid for it; milliseconds. */
    readonly savedMs?: number;
    readonly waitMs?: number;
    /** Terms of the target's cost; undefined for plain services. */
    readonly cost?: PlacementCost | undefined;
    /** Bytes of the body that were sent to another data centre; undefined if the target is in the router's own. */
    readonly interDataCentreBytes?: number | undefined;
}

/** Details of a request's processing, as logged when it ends. */
export interface FlowDetails extends AdmissionDetails, SelectionDetails, TimingDetails, BindingDetails, MoveDetails {
    /** Number of targets that were tried. */
    readonly attempts: number;
    /** Targets in the order of the attempts, each with the kind of its outcome. */
    readonly tried: readonly string[];
    /** Time since the target's record was removed when the request was sent; milliseconds, undefined if the record was present. */
    readonly recordRemovedForMs: number | undefined;
    /** Set if the caller resumes a stream: the request that received its first event, and the last event received. */
    readonly resumedRequestId: string | undefined;
    readonly resumedAfterId: string | undefined;
    /** Versions of the targets whose output the caller received. */
    readonly eventVersions: readonly string[];
    /** This router's estimate of the prefill share that owners may grant. */
    readonly readingShare: number | undefined;
    /** Tokens charged to the account: requested, and served by a target. */
    readonly askedTokens: number;
    readonly servedTokens: number;
}

/** How a request ended, for the log and the statistics. */
export interface FlowOutcome extends FlowDetails {
    readonly outcome: "answered" | "failed" | "refused" | "broken" | "left" | "timeout";
    readonly reason: string;
    /** Undefined if no complete response was sent. */
    readonly status: number | undefined;
}

/** Describes a selection for the log. */
export function describeSelection(selection: Selection | undefined): SelectionDetails {
    return {
        target: selection?.target.id,
        version: selection?.target.entry.version,
        service: selection?.service.name,
        expectedMs: selection?.expectedMs,
        tokensAhead: selection?.tokensAhead,
        newTokens: selection?.newTokens,
        fetchedTokens: selection?.fetch?.tokens,
        engineUse: selection?.grant?.usage,
        slowdown: selection?.target.speed.slowdown,
        speedFactor: selection?.speedFactor,
        ...(selection !== undefined && describeCost(selection)),
    };
}

function describeCost({ cost, expectedMs, unloadedMs, interDataCentreBytes }: Selection): Partial<SelectionDetails> {
    return { savedMs: cost?.savedMs ?? 0, waitMs: expectedMs - unloadedMs, cost, interDataCentreBytes };
}

/** Retry delay after a failure of the router; other routers may not have it. Milliseconds. */
const failedRetryMs = 200;

/** Another router serves the request; the balancer may still choose this one. Milliseconds. */
const stoppingRetryMs = 100;

/** Creates the outcome of a request, and sends the final response if no target has completed one. */
export class FlowOutcomes {
    public constructor(
        private readonly caller: CallerExchange,
        private readonly codec: HeaderCodec,
        private readonly requestId: string | undefined,
        private readonly relay: ResponseRelay,
        private readonly getDetails: () => FlowDetails,
    ) {}

    public createOutcome(outcome: FlowOutcome["outcome"], reason: string, status: number | undefined): FlowOutcome {
        return { ...this.getDetails(), outcome, reason, status };
    }

    /** Refuses a request that was not executed. */
    public refuse(reason: RouterResponseReason, retryAfterMs: number | undefined): FlowOutcome {
        return this.answer(reason, retryAfterMs, "refused", reason);
    }

    /** Relays an error response of the target. */
    public sendErrorResponse(failure: StoredResponse): FlowOutcome {
        if (this.relay.isCommitted) {
            return this.endDisconnected("the stream could not be resumed at another target");
        }
        this.caller.answer(failure.status, this.codec.encodeForCaller(failure.headers), failure.body);
        return this.createOutcome("failed", "the target failed", failure.status);
    }

    /** Ends a request whose target disconnected; the request may have been executed. */
    public endDisconnected(detail: string): FlowOutcome {
        if (this.relay.isCommitted) {
            this.caller.cancel();
            return this.createOutcome("broken", detail, undefined);
        }
        return this.answer("target-broke", undefined, "failed", detail);
    }

    /** Ends a request for which no target remains, with the last error response or according to whether it may have been executed. */
    public endWithoutTarget(
        { lastErrorResponse, mayHaveBeenExecuted }: Pick<AttemptHistory, "lastErrorResponse" | "mayHaveBeenExecuted">,
        explainNoTarget: () => NoTargetExplanation,
    ): FlowOutcome {
        if (lastErrorResponse !== undefined) {
            return this.sendErrorResponse(lastErrorResponse);
        }
        if (this.relay.isCommitted || mayHaveBeenExecuted) {
            return this.endDisconnected("no other target is available");
        }
        const { reason, retryAfterMs } = explainNoTarget();
        return this.refuse(reason, retryAfterMs);
    }

    /** Ends a request whose processing failed with an exception. `mayHaveRun`: whether a target may have executed it. */
    public endFailed(mayHaveRun: boolean): FlowOutcome {
        const detail = "the router failed";
        if (this.relay.isCommitted) {
            this.caller.cancel();
            return this.createOutcome("broken", detail, undefined);
        }
        return this.answer(mayHaveRun ? "router-failed" : "router-failed-unsent", failedRetryMs, "failed", detail);
    }

    /** Ends a request whose deadline has been reached. */
    public endTimedOut(): FlowOutcome {
        if (this.relay.isCommitted) {
            this.caller.cancel();
            return this.createOutcome("timeout", "response incomplete at the deadline", undefined);
        }
        return this.answer("timeout", undefined, "timeout", "no response before the deadline");
    }

    /** Ends a request that can't be completed before the router stops. `mayHaveRun`: whether a target may have executed it. */
    public endStopping(mayHaveRun: boolean): FlowOutcome {
        if (this.relay.isCommitted) {
            this.caller.cancelAfterSend();
            return this.createOutcome("broken", "the router is stopping", undefined);
        }
        return mayHaveRun
            ? this.answer("router-stopped", undefined, "failed", "the router is stopping")
            : this.refuse("stopping", stoppingRetryMs);
    }

    private answer(
        reason: RouterResponseReason,
        retryAfterMs: number | undefined,
        outcome: FlowOutcome["outcome"],
        detail: string,
    ): FlowOutcome {
        const response = createRouterResponse(reason, retryAfterMs);
        this.caller.answer(
            response.status,
            { ...response.headers, ...this.codec.encodeRouterResponse(this.requestId) },
            response.body,
        );
        return this.createOutcome(outcome, detail, response.status);
    }
}
