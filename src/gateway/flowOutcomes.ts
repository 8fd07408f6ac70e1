import type { CallerExchange } from "./callerExchange.js";
import { createRouterResponse, type RouterResponseReason } from "./routerResponse.js";
import type { AdmissionDetails } from "./requestAdmission.js";
import type { TimingDetails } from "./responseTiming.js";
import type { ResponseRelay, StoredResponse } from "./responseRelay.js";
import type { Selection } from "./targetSelector.js";
import type { HeaderCodec } from "./wire.js";

/** Where a request was sent last; undefined: nowhere. */
export interface SelectionDetails {
    readonly target: string | undefined;
    /** Of the target's software. */
    readonly version: string | undefined;
    readonly service: string | undefined;
    /** Time to the first event that was expected there; milliseconds. */
    readonly expectedMs: number | undefined;
    /** Prompt tokens that were to be read there up to and with its own. */
    readonly tokensAhead: number | undefined;
    /** Prompt tokens of its own that the target was believed to lack, and so had to read. */
    readonly newTokens: number | undefined;
    /** Prompt tokens that the target was to copy from another one. */
    readonly fetchedTokens: number | undefined;
    /** Part of the target's reading time that its owner had given away with this request; undefined without a grant. */
    readonly engineUse: number | undefined;
}

/** What is known of a request's way when it ends. */
export interface FlowDetails extends AdmissionDetails, SelectionDetails, TimingDetails {
    /** Targets it was meant for. */
    readonly attempts: number;
    /** Targets in the order tried, each with how its attempt ended. */
    readonly tried: readonly string[];
    /** How long the target's record had been gone when the request was sent; undefined: it was there. Milliseconds. */
    readonly recordRemovedForMs: number | undefined;
    /** Part that owners may give away, as learnt by this router. */
    readonly readingShare: number | undefined;
    /** What it counts against its account's share: asked for, and given to it by a target. */
    readonly askedTokens: number;
    readonly servedTokens: number;
}

/** How a request ended, for the log and the figures. */
export interface FlowOutcome extends FlowDetails {
    readonly outcome: "answered" | "failed" | "refused" | "broken" | "left" | "timeout";
    readonly reason: string;
    /** Undefined when no whole answer was sent. */
    readonly status: number | undefined;
}

/** What a selection expected. */
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
    };
}

/** Gives a request its final answer when its target does not. */
export class FlowOutcomes {
    public constructor(
        private readonly caller: CallerExchange,
        private readonly codec: HeaderCodec,
        private readonly requestId: string | undefined,
        private readonly relay: ResponseRelay,
        private readonly getFacts: () => FlowDetails,
    ) {}

    public createOutcome(outcome: FlowOutcome["outcome"], reason: string, status: number | undefined): FlowOutcome {
        return { ...this.getFacts(), outcome, reason, status };
    }

    /** The request did not run and will not. */
    public refuse(reason: RouterResponseReason, retryAfterMs: number): FlowOutcome {
        return this.answer(reason, retryAfterMs, "refused", reason);
    }

    /** The target answered with a failure of its own. */
    public sendFailure(failure: StoredResponse): FlowOutcome {
        if (this.relay.isCommitted) {
            return this.endDisconnected("the stream could not go on elsewhere");
        }
        this.caller.answer(failure.status, this.codec.encodeForCaller(failure.headers), failure.body);
        return this.createOutcome("failed", "the target failed", failure.status);
    }

    /** The target broke off, and the request may have run. */
    public endDisconnected(detail: string): FlowOutcome {
        if (this.relay.isCommitted) {
            this.caller.cancel();
            return this.createOutcome("broken", detail, undefined);
        }
        return this.answer("target-broke", undefined, "failed", detail);
    }

    /** The time is up. */
    public endTimedOut(): FlowOutcome {
        if (this.relay.isCommitted) {
            this.caller.cancel();
            return this.createOutcome("timeout", "the answer was not whole in time", undefined);
        }
        return this.answer("timeout", undefined, "timeout", "no answer in time");
    }

    private answer(
        reason: RouterResponseReason,
        retryAfterMs: number | undefined,
        outcome: FlowOutcome["outcome"],
        detail: string,
    ): FlowOutcome {
        const own = createRouterResponse(reason, retryAfterMs);
        this.caller.answer(
            own.status,
            { ...own.headers, ...this.codec.encodeRouterResponse(this.requestId) },
            own.body,
        );
        return this.createOutcome(outcome, detail, own.status);
    }
}
