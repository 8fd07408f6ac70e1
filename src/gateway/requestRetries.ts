import type { GatewayContext } from "./gatewayContext.js";

/**
 * Part of the fleet's ratio of repeats that a router uses. Its window, in tenths, and the fleet's sliding one may hold
 * different first tries, and the fleet's slack is handed out besides.
 */
const usedRetryRatio = 0.5;
/** Requests on routes without a key share one budget. */
const noAccount = "";

/** One request's use of the retry budgets. */
export class RequestRetries {
    public constructor(
        private readonly context: Pick<GatewayContext, "retryBudgets" | "settings" | "clock">,
        private readonly account: string | undefined,
    ) {}

    /** Counts the request at the service that it goes to first. */
    public recordFirst(service: string): void {
        const { retryBudgets, clock } = this.context;
        retryBudgets.getOrCreate(service).recordFirstAttempt(this.account ?? noAccount, clock.nowMs());
    }

    /** Takes a further send out of the service's budget; false: there is none left. */
    public take(service: string): boolean {
        const { retryBudgets, settings, clock } = this.context;
        const ratio = settings.retryBudget.ratio * usedRetryRatio;
        return retryBudgets.getOrCreate(service).takeRetry(this.account ?? noAccount, ratio, clock.nowMs());
    }
}
