import type { GatewayContext } from "./gatewayContext.js";
import type { RouteConfiguration } from "./configuration.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RequestHead } from "./wire.js";

/** Weight of an output token in an account's share: generating one costs about as much as prefilling this many prompt tokens. */
const outputTokenWeight = 2;

/** Tokens charged to an account's share for a request: prompt tokens plus weighted expected output tokens; 0 without a prompt. */
export function computeChargedTokens(
    { outputLengths }: Pick<GatewayContext, "outputLengths">,
    {
        head,
        route,
    }: {
        readonly head: Pick<RequestHead, "promptTokens" | "maxOutputTokens">;
        readonly route: Pick<RouteConfiguration, "name">;
    },
): number {
    const outputTokens = outputLengths.getOrCreate(route.name).estimate(head.maxOutputTokens);
    return head.promptTokens > 0 ? head.promptTokens + outputTokenWeight * outputTokens : 0;
}

/** Charges one request to its account's share, from its arrival to its end. */
export class AccountCharge {
    private asked = 0;
    private served = 0;

    public constructor(
        private readonly context: Pick<GatewayContext, "shares" | "outputLengths" | "clock">,
        private readonly routed: Pick<RoutedRequest, "head" | "route" | "account"> &
            Partial<Pick<RoutedRequest, "figures">>,
    ) {}

    /** Tokens charged as requested: prompt tokens plus weighted expected output tokens; 0 before the request is recorded. */
    public get askedTokens(): number {
        return this.asked;
    }

    /** Tokens charged as served: the requested tokens once the request was sent to a target; 0 if no target executed it. */
    public get servedTokens(): number {
        return this.served;
    }

    /** Output tokens that the request is expected to generate. */
    public get outputTokens(): number {
        const { head, route } = this.routed;
        return this.context.outputLengths.getOrCreate(route.name).estimate(head.maxOutputTokens);
    }

    /** Charges the request's tokens as requested. */
    public recordRequested(): void {
        const { account, head } = this.routed;
        if (account !== undefined && head.promptTokens > 0) {
            this.asked = computeChargedTokens(this.context, this.routed);
            this.context.shares.recordRequested(account, this.asked, this.context.clock.nowMs());
        }
    }

    /** Charges the request's tokens as served when it is sent to a target; a retry is not charged again. */
    public recordServed(): void {
        const { account, figures } = this.routed;
        figures?.record("sent");
        if (account !== undefined && this.asked > 0 && this.served === 0) {
            this.served = this.asked;
            this.context.shares.recordServed(account, this.served, this.context.clock.nowMs());
        }
    }

    /** Reverts the served charge of a request that no target executed, so that it doesn't hold back the account's later requests. */
    public removeServed(): void {
        const { account } = this.routed;
        if (account !== undefined && this.served > 0) {
            this.context.shares.recordServed(account, -this.served, this.context.clock.nowMs());
            this.served = 0;
        }
    }

    /**
     * Updates the output length estimate from a complete response of `events` events. `tokensPerEvent` is undefined where the
     * configuration doesn't set it.
     */
    public observeOutput(events: number, tokensPerEvent: number | undefined): void {
        const { route, head } = this.routed;
        // A resumed stream contains only the remaining events, which would bias the estimate.
        if (tokensPerEvent !== undefined && events > 0 && head.lastEventId === undefined) {
            this.context.outputLengths.getOrCreate(route.name).observe(events * tokensPerEvent);
        }
    }
}
