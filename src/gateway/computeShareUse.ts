import { noUse, type ShareUse } from "../decisions/shares/accountShares.js";
import type { GatewayContext } from "./gatewayContext.js";

/** How the account stands, by this router's sums and the peers'; `account` is undefined on public routes. */
export function computeShareUse(
    { configuration, shares, peers, clock }: GatewayContext,
    account: string | undefined,
): ShareUse {
    const tokensPerSecond = configuration.current?.limits.tokensPerSecond;
    return account === undefined || tokensPerSecond === undefined
        ? noUse
        : shares.computeUse(account, peers.accountUses, tokensPerSecond, clock.nowMs());
}
