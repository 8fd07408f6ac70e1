import { FairShedding } from "../decisions/admission/fairShedding.js";
import { AccountCharge } from "./accountCharge.js";
import { computeShareUsage } from "./computeShareUsage.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { RoutedRequest } from "./routedRequest.js";

/** Decides which requests an overloaded router refuses without further processing. */
export class RequestShedder {
    private readonly shedding = new FairShedding();

    public constructor(private readonly context: GatewayContext) {}

    /** Whether to refuse the request; `routed` is undefined without a route. */
    public check(routed: RoutedRequest | undefined): boolean {
        const { load, random } = this.context;
        const isShed = this.shedding.check(load.shedShare, this.computeSurplus(routed), random);
        if (isShed && routed !== undefined) {
            // Without its shed requests in the totals, the account would appear to request little.
            new AccountCharge(this.context, routed).recordRequested();
        }
        return isShed;
    }

    private computeSurplus(routed: RoutedRequest | undefined): number {
        return routed?.route.hasPrompts === true ? computeShareUsage(this.context, routed.account).surplus : 0;
    }
}
