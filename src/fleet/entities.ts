/** What is known about whether a request ran. `unknown` is the honest answer when no authority can tell. */
export type Execution = "not-run" | "unknown" | "ran";

/** Long work is kept from filling all slots of a target, so that short work does not wait behind it. */
export type WorkClass = "short" | "long";

/** A request as the cores see it: no body, no network. Times are monotonic milliseconds of the process that holds it. */
export interface WorkRequest {
    readonly id: string;
    readonly clientAccount: string;
    readonly service: string;
    readonly kind: "model" | "plain";
    /** Whether running it twice does no harm. */
    readonly idempotent: boolean;
    /** Set on non-idempotent calls, and on others whose caller sent one. */
    readonly idempotencyKey: string | undefined;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    /** Estimated prompt size; tokens (0 for plain services). */
    readonly promptTokens: number;
    /** Most tokens that may be generated, if the caller said so. */
    readonly maxTokens: number | undefined;
    /** Hash of the prompt's beginning, for cache affinity. */
    readonly prefixHash: string | undefined;
    readonly bodyBytes: number;
}

/** Where a daemon of role agent stands and what it serves. */
export interface AgentIdentity {
    /** Stable over restarts: the daemon's id. */
    readonly agentId: string;
    /** New at each start of the process; larger means later. */
    readonly incarnation: number;
    readonly targetName: string;
    readonly dataCentre: string;
    readonly services: readonly string[];
}

/** What an agent lets routers do with it. */
export type AgentPhase = "serving" | "draining" | "out" | "leaving";

/** One account's service at one service name: two monotone counters, in units over weight. */
export interface ServiceCounter {
    readonly service: string;
    readonly clientAccount: string;
    readonly charged: number;
    readonly refunded: number;
    /** Greatest known catch-up floor; merged by maximum. */
    readonly lift: number;
}

/** What an agent says of itself, on the exchange and on answers. */
export interface AgentReport {
    readonly identity: AgentIdentity;
    /** Rises with each report of one incarnation, so that late reports are dropped. */
    readonly sequence: number;
    readonly phase: AgentPhase;
    /** Requests the target may run at once now. */
    readonly window: number;
    readonly running: number;
    /** Requests held and not yet started. */
    readonly queued: number;
    /** Whether the target shows signs of a cold start. */
    readonly cold: boolean;
    /** Smoothed time of one request at the target; milliseconds. */
    readonly serviceTimeMs: number;
    readonly documentOffset: number;
    /** Counters of this agent's own that changed since the peer's last acknowledgement. */
    readonly counters: readonly ServiceCounter[];
    /** Prefix hashes likely to be in the target's cache, newest first; a bounded hint. */
    readonly cachedPrefixes: readonly string[];
}

/** A report that goes along with an answer: the answered account's counter only, and no prefixes, so that it is small. */
export type BriefReport = Omit<AgentReport, "cachedPrefixes"> & { readonly cachedPrefixes?: undefined };

/** Why a request was turned away. */
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

/** A final answer to a request that was not served. */
export interface Refusal {
    readonly reason: RefusalReason;
    readonly execution: Execution;
    /** When to come back; milliseconds. Undefined when coming back is no use. */
    readonly retryAfterMs: number | undefined;
    readonly detail: string;
}
