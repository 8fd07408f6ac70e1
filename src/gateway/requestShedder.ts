import { FairShedding } from "../decisions/admission/fairShedding.js";
import { AccountCharge } from "./accountCharge.js";
import { computeShareUsage } from "./computeShareUsage.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { RoutedRequest } from "./routedRequest.js";

/** Decides which requests a router refuses unexamined while it is too slow for all of them. */
export class RequestShedder {
    private readonly shedding = new FairShedding();

    public constructor(private readonly context: GatewayContext) {}

    /** Whether to refuse the request; `routed` is undefined without a route. */
    public check(routed: RoutedRequest | undefined): boolean {
        const { load, random } = this.context;
        const isShed = this.shedding.check(load.shedShare, this.computeSurplus(routed), random);
        if (isShed && routed !== undefined) {
            // Left out of the sums, an account that is shed would look like one that asks for little.
            new AccountCharge(this.context, routed).recordRequested();
        }
        return isShed;
    }

    private computeSurplus(routed: RoutedRequest | undefined): number {
        return routed?.route.hasPrompts === true ? computeShareUsage(this.context, routed.account).surplus : 0;
    }
}
