import type { PrefillShare } from "../decisions/admission/prefillShare.js";
import type { AccountCharge } from "./accountCharge.js";
import type { ResponseTiming } from "./responseTiming.js";
import type { RouteConfiguration } from "./configuration.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Selection } from "./targetSelector.js";

/** What is known of a request whose answer was whole. */
export interface CompleteResponse {
    readonly selection: Selection | undefined;
    readonly route: RouteConfiguration;
    readonly charge: AccountCharge;
    readonly timing: ResponseTiming;
    /** Events of the stream that went to the caller. */
    readonly relayedEvents: number;
}

/** What is learnt of the engines of a request's service; undefined for plain services. */
export function findPrefillShare(context: GatewayContext, selection: Selection | undefined): PrefillShare | undefined {
    return selection?.grant === undefined ? undefined : context.prefillShares.getOrCreate(selection.service.name);
}

/** Learns from a whole answer how long outputs are, and whether engines were given too much. */
export function observeCompleteResponse(context: GatewayContext, answer: CompleteResponse): void {
    const { selection, route, charge, timing, relayedEvents: passedEvents } = answer;
    charge.observeOutput(passedEvents, selection?.service.engine?.tokensPerEvent);
    if (selection?.grant !== undefined) {
        const isLate = timing.longestPauseMs > route.pauseObjectiveMs;
        findPrefillShare(context, selection)?.observe(isLate, selection.grant.usage);
    }
}
