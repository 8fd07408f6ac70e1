import type { GatewayContext } from "./gatewayContext.js";
import type { RoutedRequest } from "./routedRequest.js";

/** Output tokens count this often against an account's share; generating one costs about as much as reading some. */
const outputTokenWeight = 2;

/** Tokens that a request counts against its account's share: its prompt, and what it is expected to generate. */
export function computeChargedTokens(
    { outputLengths }: Pick<GatewayContext, "outputLengths">,
    { head, route }: Pick<RoutedRequest, "head" | "route">,
): number {
    const outputTokens = outputLengths.getOrCreate(route.name).estimate(head.maxOutputTokens);
    return head.promptTokens > 0 ? head.promptTokens + outputTokenWeight * outputTokens : 0;
}

/** What one request counts against its account's share, from its arrival to its end. */
export class AccountCharge {
    private asked = 0;
    private served = 0;

    public constructor(
        private readonly context: Pick<GatewayContext, "shares" | "outputLengths" | "clock">,
        private readonly routed: RoutedRequest,
    ) {}

    /** Tokens that it counts as asked for: its prompt, and what it is expected to generate. */
    public get askedTokens(): number {
        return this.asked;
    }

    /** The same once a target has it; 0 if none ran it. */
    public get servedTokens(): number {
        return this.served;
    }

    /** Tokens that it is expected to generate. */
    public get outputTokens(): number {
        const { head, route } = this.routed;
        return this.context.outputLengths.getOrCreate(route.name).estimate(head.maxOutputTokens);
    }

    public recordRequested(): void {
        const { account, head } = this.routed;
        if (account !== undefined && head.promptTokens > 0) {
            this.asked = computeChargedTokens(this.context, this.routed);
            this.context.shares.recordRequested(account, this.asked, this.context.clock.nowMs());
        }
    }

    /** It is sent to a target; sent once more, it counts once all the same. */
    public recordServed(): void {
        const { account, figures } = this.routed;
        figures.record("sent");
        if (account !== undefined && this.asked > 0 && this.served === 0) {
            this.served = this.asked;
            this.context.shares.recordServed(account, this.served, this.context.clock.nowMs());
        }
    }

    /** No target ran it: the account got nothing, and must not be held back for it. */
    public removeServed(): void {
        const { account } = this.routed;
        if (account !== undefined && this.served > 0) {
            this.context.shares.recordServed(account, -this.served, this.context.clock.nowMs());
            this.served = 0;
        }
    }

    /** Learns from its whole answer; `tokensPerEvent` is undefined where the operators don't name it. */
    public observeOutput(events: number, tokensPerEvent: number | undefined): void {
        const { route, head } = this.routed;
        // A stream that the caller resumed has only its rest here.
        if (tokensPerEvent !== undefined && events > 0 && head.lastEventId === undefined) {
            this.context.outputLengths.getOrCreate(route.name).observe(events * tokensPerEvent);
        }
    }
}
