import type { GatewayContext } from "../gatewayContext.js";
import type { RoutedRequest } from "../routedRequest.js";
import type { Selection } from "../targetSelector.js";
import type { Grant } from "./grantClient.js";

/** Bounds for an attempt that is only reported to the owner, which records it without a check. */
const uncheckedBounds = { maxWaitMs: 0, maxUsage: 1 };

/** Reports an attempt to the target's owner without asking for a grant; undefined if there is no owner to record it. */
export function recordAttempt(
    { grants }: Pick<GatewayContext, "grants">,
    { target, fetch }: Selection,
    { head, account, route }: Pick<RoutedRequest, "head" | "account" | "route">,
    outputTokens: number,
): Grant | undefined {
    return grants.record({
        target,
        head,
        copiedTokens: fetch?.tokens ?? 0,
        outputTokens,
        account,
        chargedTokens: 0,
        bounds: uncheckedBounds,
        windowMs: route.pauseObjectiveMs,
    });
}
