/** What a router's core is built with; times in milliseconds. */
export interface RouterOptions {
    /**
     * Requests offered and not yet started per (lane, agent). Two, so that one waits in the agent's fair queue while the
     * replacement of the other travels; more would only move backlog to where it can't be placed anew.
     */
    readonly offerDepth: number;
    /** A request that waits this long without any agent for its service is refused. */
    readonly noTargetWaitMs: number;
    /** A request that was moved stays for this, then for three times, seven times and so on as it moves again. */
    readonly moveHoldMs: number;
    /** A withdraw that was not answered is asked again after this. */
    readonly withdrawRepeatMs: number;
    /** Past its deadline by this much without any answer from the agent, a request ends as unknown. */
    readonly replyGraceMs: number;
    /** Requests sent in one tick; the rest follow in the next, so that no tick holds the process for long. */
    readonly maxSendsPerTick: number;
}

/** Options for the daemons. */
export const defaultRouterOptions: RouterOptions = {
    offerDepth: 2,
    noTargetWaitMs: 2_000,
    moveHoldMs: 20,
    withdrawRepeatMs: 1_000,
    replyGraceMs: 2_000,
    maxSendsPerTick: 256,
};
