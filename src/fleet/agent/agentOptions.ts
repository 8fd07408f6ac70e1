/** Limits of an agent's core; all are counts. */
export interface AgentOptions {
    /** Maximum of requests waiting at this agent, over all accounts. */
    readonly maxQueuedTotal: number;
    /** Maximum of requests of one account waiting at this agent. */
    readonly maxQueuedPerAccount: number;
    /** Maximum of ids of started requests that are kept; see `RecentIds`. */
    readonly maxStartedIds: number;
    /** Maximum of ids of withdrawn requests that are kept, in case their offer arrives late. */
    readonly maxWithdrawnIds: number;
    /** Maximum of prefix hashes reported to routers. */
    readonly maxCachedPrefixes: number;
}

/**
 * Default limits. Routers offer two requests per account and agent, so 100 routers with 16 accounts offer at most
 * 3,200. The limits only protect the process's memory (a queued request takes less than a kilobyte in the core).
 */
export const defaultAgentOptions: AgentOptions = {
    maxQueuedTotal: 10_000,
    maxQueuedPerAccount: 2_000,
    maxStartedIds: 100_000,
    maxWithdrawnIds: 20_000,
    maxCachedPrefixes: 32,
};

/**
 * The id of a started request is kept for the maximum deadline that a document may set, as routers may send a
 * withdrawal until then; milliseconds.
 */
export const startedIdRetentionMs = 3_600_000;

/** An offer that arrives after its withdrawal does so within this time, or its connection has failed; milliseconds. */
export const withdrawnIdRetentionMs = 60_000;
