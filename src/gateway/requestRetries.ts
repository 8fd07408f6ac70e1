import type { GatewayContext } from "./gatewayContext.js";

/**
 * Share of the fleet's retry ratio that a router uses. The router's window, which advances in tenths, and the fleet's sliding window
 * may contain different first attempts, and the fleet's slack is granted in addition.
 */
const retryRatioShare = 0.5;
/** Budget key of requests on routes without an API key; they share one budget. */
const sharedBudgetKey = "";

/** Charges one request's attempts to the retry budgets. */
export class RequestRetries {
    public constructor(
        private readonly context: Pick<GatewayContext, "retryBudgets" | "settings" | "clock">,
        private readonly account: string | undefined,
    ) {}

    /** Counts the first attempt for the service's budget; undefined if the route has no service. */
    public recordFirstAttempt(service: string | undefined): void {
        if (service !== undefined) {
            const { retryBudgets, clock } = this.context;
            retryBudgets.getOrCreate(service).recordFirstAttempt(this.budgetKey, clock.nowMs());
        }
    }

    /** Takes a retry from the service's budget; false if the budget is exhausted. */
    public takeRetry(service: string): boolean {
        const { retryBudgets, clock } = this.context;
        return retryBudgets.getOrCreate(service).takeRetry(this.budgetKey, this.ratio, clock.nowMs());
    }

    /** Whether {@link takeRetry} would grant a retry now. */
    public hasRetry(service: string): boolean {
        const { retryBudgets, clock } = this.context;
        return retryBudgets.getOrCreate(service).hasRetry(this.budgetKey, this.ratio, clock.nowMs());
    }

    private get budgetKey(): string {
        return this.account ?? sharedBudgetKey;
    }

    private get ratio(): number {
        return this.context.settings.retryBudget.ratio * retryRatioShare;
    }
}
