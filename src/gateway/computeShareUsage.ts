import { zeroUsage, type ShareUsage } from "../decisions/shares/accountShares.js";
import type { GatewayContext } from "./gatewayContext.js";

/** How the account stands, by this router's sums and the peers'; `account` is undefined on public routes. */
export function computeShareUsage(
    { configuration, shares, peers, clock }: GatewayContext,
    account: string | undefined,
): ShareUsage {
    const tokensPerSecond = configuration.current?.limits.tokensPerSecond;
    return account === undefined || tokensPerSecond === undefined
        ? zeroUsage
        : shares.computeUsage(account, peers.accountReports, tokensPerSecond, clock.nowMs());
}
