import { noUse, type ShareUse } from "../decisions/shares/accountShares.js";
import type { GatewayContext } from "./gatewayContext.js";

/** Computes the account's usage of its share from the totals of this router and of its peers; `account` is undefined on public routes. */
export function computeShareUse(
    { configuration, shares, peers, clock }: GatewayContext,
    account: string | undefined,
): ShareUse {
    const tokensPerSecond = configuration.current?.limits.tokensPerSecond;
    return account === undefined || tokensPerSecond === undefined
        ? noUse
        : shares.computeUse(account, peers.accountUses, tokensPerSecond, clock.nowMs());
}
