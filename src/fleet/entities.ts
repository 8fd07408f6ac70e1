/** Whether a request was executed; `unknown` if no component can determine it. */
export type Execution = "not-run" | "unknown" | "ran";

/** Expected length of a request. Long requests may not occupy all slots of a target, so that short ones can run. */
export type WorkClass = "short" | "long";

/**
 * A request's metadata as processed by the cores; the body is not included. Times are in milliseconds on the monotonic
 * clock of the process that holds the request.
 */
export interface WorkRequest {
    readonly id: string;
    readonly clientAccount: string;
    readonly service: string;
    readonly kind: "model" | "plain";
    /** Whether executing the request twice is harmless. */
    readonly idempotent: boolean;
    /** Set on non-idempotent requests, and on others if the caller sent a key. */
    readonly idempotencyKey: string | undefined;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    /** Estimated prompt size in tokens; 0 for plain services. */
    readonly promptTokens: number;
    /** Maximum number of tokens to generate, if the caller set a limit. */
    readonly maxTokens: number | undefined;
    /** Hash of the prompt's prefix, for cache affinity. */
    readonly prefixHash: string | undefined;
    readonly bodyBytes: number;
}

/** Identity of a daemon with the role agent: its location, target and services. */
export interface AgentIdentity {
    /** The daemon's id; stable across restarts. */
    readonly agentId: string;
    /** Identifies the process start; increases with each restart. */
    readonly incarnation: number;
    readonly targetName: string;
    readonly dataCentre: string;
    readonly services: readonly string[];
}

/** Operating phase of an agent, which determines whether routers may send it requests. */
export type AgentPhase = "serving" | "draining" | "out" | "leaving";

/** What one account received from one service: monotonic counters, in service units divided by weight. */
export interface ServiceCounter {
    readonly service: string;
    readonly clientAccount: string;
    readonly charged: number;
    readonly refunded: number;
    /** Highest known amount added to the counter so that inactivity earns no credit; merged by maximum. */
    readonly lift: number;
}

/** State that an agent reports about itself in the exchange and with its responses. */
export interface AgentReport {
    readonly identity: AgentIdentity;
    /** Increases with each report of an incarnation, so that reports received out of order are dropped. */
    readonly sequence: number;
    readonly phase: AgentPhase;
    /** Current limit of concurrent requests at the target. */
    readonly window: number;
    readonly running: number;
    /** Requests queued at the agent and not yet started. */
    readonly queued: number;
    /** Whether the target shows signs of a cold start. */
    readonly cold: boolean;
    /** Smoothed duration of a request at the target; milliseconds. */
    readonly serviceTimeMs: number;
    readonly documentOffset: number;
    /** This agent's own counters that changed since the peer's last acknowledgement. */
    readonly counters: readonly ServiceCounter[];
    /** Hashes of prefixes that are likely in the target's cache, newest first; a hint of limited length. */
    readonly cachedPrefixes: readonly string[];
}

/** A small report sent with a response: no prefixes, and no counter but that of the account that sent the request. */
export type BriefReport = Omit<AgentReport, "cachedPrefixes"> & { readonly cachedPrefixes?: undefined };

/** Why a request was refused. */
export type RefusalReason =
    | "queue-full"
    | "account-queue-full"
    | "deadline"
    | "no-target"
    | "draining"
    | "duplicate"
    | "key-unknown"
    | "key-required"
    | "retry-budget"
    | "target-failed"
    | "stopping";

/** The final response to a request that was not served. */
export interface Refusal {
    readonly reason: RefusalReason;
    readonly execution: Execution;
    /** Time after which a retry makes sense; milliseconds. Undefined if a retry cannot succeed. */
    readonly retryAfterMs: number | undefined;
    readonly detail: string;
}
