/** What an agent's core can be set to. */
export interface AgentOptions {
    /** Requests that may wait at this agent in all. */
    readonly maxQueuedTotal: number;
    /** Requests of one account that may wait at this agent. */
    readonly maxQueuedPerAccount: number;
    /** Requests remembered after they started; see IdMemory. */
    readonly maxStartedIds: number;
    /** Withdrawn requests remembered in case their offer comes late. */
    readonly maxWithdrawnIds: number;
    /** Prefix hashes told to routers. */
    readonly maxCachedPrefixes: number;
}

/**
 * Routers offer two requests per account and agent, so 100 routers with 16 accounts make 3,200 at most; the bounds
 * only protect the process's memory (a queued request takes under a kilobyte in the core).
 */
export const defaultAgentOptions: AgentOptions = {
    maxQueuedTotal: 10_000,
    maxQueuedPerAccount: 2_000,
    maxStartedIds: 100_000,
    maxWithdrawnIds: 20_000,
    maxCachedPrefixes: 32,
};

/** A started request is remembered for the longest deadline a document may set, since routers ask until then. */
export const startedIdRetentionMs = 3_600_000;

/** An offer that was overtaken by its withdrawal arrives within this time or its connection has failed. */
export const withdrawnIdRetentionMs = 60_000;
