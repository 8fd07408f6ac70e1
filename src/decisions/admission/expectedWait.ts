/** Minimum and maximum retry delay sent to a refused caller; milliseconds. */
export const retryAfterBoundsMs = { min: 200, max: 60_000 } as const;

/** State of the agent's queues when a request arrives. Costs are in the service's unit, not divided by weight. */
export interface QueueState {
    readonly freeSlots: number;
    readonly window: number;
    /** Time that the target takes per unit of cost in one slot; undefined before the first request has ended. */
    readonly msPerCost: number | undefined;
    readonly waitingCost: number;
    readonly accountWaitingCost: number;
    /** Estimated cost of the request itself. */
    readonly cost: number;
    readonly accountWeight: number;
    /** Sum of the weights of all accounts with waiting requests, including the request's own account. */
    readonly backloggedWeight: number;
    /** Time until the target may be tried again if its circuit is open, otherwise 0; milliseconds. */
    readonly pausedForMs: number;
}

/** Limits on the requests queued at one agent. */
export interface QueueBounds {
    readonly maxQueuedTotal: number;
    readonly maxQueuedPerAccount: number;
}

/** Whether a request may be queued at the agent, and otherwise the reason and the retry delay. */
export type AdmissionDecision =
    | { readonly admitted: true }
    | {
          readonly admitted: false;
          readonly reason: "queue-full" | "account-queue-full" | "deadline";
          readonly retryAfterMs: number;
      };

/**
 * Expected wait of a new request; milliseconds. Under fair queueing an account's queue drains at the account's share of
 * the target, whatever other accounts have queued, and at the latest when the whole queue has drained.
 */
export function estimateWaitMs(state: QueueState): number {
    const { msPerCost, window } = state;
    if (msPerCost === undefined || window <= 0 || (state.freeSlots > 0 && state.waitingCost === 0)) {
        return state.pausedForMs;
    }
    const share = state.backloggedWeight / state.accountWeight;
    const queuedCost = Math.min(state.waitingCost, state.accountWaitingCost * share);
    return state.pausedForMs + (queuedCost * msPerCost) / window;
}

/** Expected run time of the request itself; milliseconds; 0 before the first request has ended. */
export function estimateServiceMs(state: Pick<QueueState, "msPerCost" | "cost">): number {
    return (state.msPerCost ?? 0) * state.cost;
}

/**
 * Latest time at which a waiting request can start and still complete before its deadline. At most half of the remaining time is
 * reserved for the run: the estimate may be far too high, and the request must then still get a chance to start.
 */
export function computeLatestStartMs(state: QueueState, nowMs: number, deadlineAtMs: number): number {
    return deadlineAtMs - Math.min(estimateServiceMs(state), (deadlineAtMs - nowMs) / 2);
}

/**
 * Decides whether a request may be queued at this agent.
 *
 * Load patterns: saturation and overload by one account. A request that cannot complete before its deadline only holds memory and,
 * once started, a slot for a response that its caller no longer waits for; at full load such requests displace those that could still
 * complete in time. It is refused immediately, with a retry delay after which the expected wait has drained to half its deadline.
 * A request that can start immediately is never refused for its own expected run time, as a wrong estimate would then never be corrected.
 * The limit per account keeps one account from using up the total limit, which protects the process's memory.
 */
export function checkAdmission(
    state: QueueState,
    counts: { readonly queuedTotal: number; readonly queuedOfAccount: number },
    bounds: QueueBounds,
    remainingMs: number,
): AdmissionDecision {
    const waitMs = estimateWaitMs(state);
    if (counts.queuedOfAccount >= bounds.maxQueuedPerAccount) {
        return { admitted: false, reason: "account-queue-full", retryAfterMs: toRetryAfterMs(waitMs / 2) };
    }
    if (counts.queuedTotal >= bounds.maxQueuedTotal) {
        return { admitted: false, reason: "queue-full", retryAfterMs: toRetryAfterMs(waitMs / 2) };
    }
    const requiredMs = waitMs === 0 ? 0 : waitMs + Math.min(estimateServiceMs(state), remainingMs / 2);
    if (remainingMs <= 0 || requiredMs > remainingMs) {
        const retryAfterMs = toRetryAfterMs(waitMs - Math.max(0, remainingMs) / 2);
        return { admitted: false, reason: "deadline", retryAfterMs };
    }
    return { admitted: true };
}

/** Rounds a retry delay and limits it to {@link retryAfterBoundsMs}; milliseconds. */
export function toRetryAfterMs(ms: number): number {
    return Math.round(Math.min(retryAfterBoundsMs.max, Math.max(retryAfterBoundsMs.min, ms)));
}
