import type { PrefillShare } from "../decisions/admission/prefillShare.js";
import type { AccountCharge } from "./accountCharge.js";
import type { ResponseTiming } from "./responseTiming.js";
import type { RouteConfiguration } from "./configuration.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Selection } from "./targetSelector.js";

/** A request whose response was complete. */
export interface CompleteResponse {
    readonly selection: Selection | undefined;
    readonly route: RouteConfiguration;
    readonly charge: AccountCharge;
    readonly timing: ResponseTiming;
    /** Events of the stream that were sent to the caller. */
    readonly relayedEvents: number;
}

/** The prefill share estimate for the engines of the selected service; undefined without a grant (plain services). */
export function findPrefillShare(context: GatewayContext, selection: Selection | undefined): PrefillShare | undefined {
    return selection?.grant === undefined ? undefined : context.prefillShares.getOrCreate(selection.service.name);
}

/** Updates the estimates of output lengths and of the prefill share from a complete response. */
export function observeCompleteResponse(context: GatewayContext, response: CompleteResponse): void {
    const { selection, route, charge, timing, relayedEvents } = response;
    charge.observeOutput(relayedEvents, selection?.service.engine?.tokensPerEvent);
    if (selection?.grant !== undefined) {
        const isLate = timing.longestPauseMs > route.pauseObjectiveMs;
        findPrefillShare(context, selection)?.observe(isLate, selection.grant.usage);
    }
}
