/** Options of the router core; times in milliseconds. */
export interface RouterOptions {
    /**
     * Maximum number of requests offered and not yet started per (lane, agent). With two, one waits in the agent's fair
     * queue while the replacement of the other is in transit. More would move backlog to an agent, where it can't be
     * placed again.
     */
    readonly offerDepth: number;
    /** A request is refused when no agent has accepted work for its service for this long. */
    readonly noTargetWaitMs: number;
    /**
     * Minimum time that a moved request stays at its agent before it may move again; three times this after the second
     * move, then seven times and so on.
     */
    readonly moveHoldMs: number;
    /** Interval after which an unacknowledged withdrawal is sent again. */
    readonly withdrawRepeatMs: number;
    /** How long past its deadline a request waits for a reply of the agent before it ends with execution "unknown". */
    readonly replyGraceMs: number;
    /** Maximum number of requests sent in one tick; the rest follow in the next, so that no tick blocks the process. */
    readonly maxSendsPerTick: number;
}

/** Options used by the router daemons. */
export const defaultRouterOptions: RouterOptions = {
    offerDepth: 2,
    noTargetWaitMs: 2_000,
    moveHoldMs: 20,
    withdrawRepeatMs: 1_000,
    replyGraceMs: 2_000,
    maxSendsPerTick: 256,
};
