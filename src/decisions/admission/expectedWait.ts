/** Shortest and longest time after which a refused caller is told to come back; milliseconds. */
export const retryAfterBoundsMs = { min: 200, max: 60_000 } as const;

/** How things stand at the agent when a request comes. Costs are in the service's unit, not divided by weight. */
export interface QueueState {
    readonly freeSlots: number;
    readonly window: number;
    /** Time the target takes per unit of cost in one slot; undefined before anything ended. */
    readonly msPerCost: number | undefined;
    readonly waitingCost: number;
    readonly accountWaitingCost: number;
    /** Estimated cost of the request itself. */
    readonly cost: number;
    readonly accountWeight: number;
    /** Weights of all accounts that wait, the request's own included. */
    readonly backloggedWeight: number;
    /** Time until the target may be tried again when its circuit is open; else 0. */
    readonly pausedForMs: number;
}

/** Bounds on what may wait at one agent. */
export interface QueueBounds {
    readonly maxQueuedTotal: number;
    readonly maxQueuedPerAccount: number;
}

/** Whether a request may wait here, and if not, why and when to come back. */
export type AdmissionDecision =
    | { readonly admitted: true }
    | {
          readonly admitted: false;
          readonly reason: "queue-full" | "account-queue-full" | "deadline";
          readonly retryAfterMs: number;
      };

/**
 * How long a new request would wait, in milliseconds. Under fair queueing an account's work drains at its share of
 * the target, whatever the others have queued, and never later than when everything queued has drained.
 */
export function estimateWaitMs(situation: QueueState): number {
    const { msPerCost, window } = situation;
    if (msPerCost === undefined || window <= 0 || (situation.freeSlots > 0 && situation.waitingCost === 0)) {
        return situation.pausedForMs;
    }
    const share = situation.backloggedWeight / situation.accountWeight;
    const ahead = Math.min(situation.waitingCost, situation.accountWaitingCost * share);
    return situation.pausedForMs + (ahead * msPerCost) / window;
}

/** How long the request itself is expected to run, in milliseconds; 0 before anything ended. */
export function estimateServiceMs(situation: Pick<QueueState, "msPerCost" | "cost">): number {
    return (situation.msPerCost ?? 0) * situation.cost;
}

/**
 * When a waiting request must have started to be answered in time. At most half of the time it has is kept for the
 * answer: the estimate may be far too high, and the request must then have had a chance.
 */
export function computeLatestStartMs(situation: QueueState, nowMs: number, deadlineAtMs: number): number {
    return deadlineAtMs - Math.min(estimateServiceMs(situation), (deadlineAtMs - nowMs) / 2);
}

/**
 * Decides whether a request may wait at this agent.
 *
 * Load patterns: saturation and a flood. A request that cannot be answered before its deadline only holds memory and,
 * once started, a slot for an answer that nobody waits for; at full load such work crowds out what could still be in
 * time. It is refused at once, with the time after which the wait is expected to have drained to half its deadline.
 * One that can start at once is never refused for its own expected time, else a wrong estimate would never be mended.
 * The bound per account keeps one account from using up the total bound, which protects the process's memory.
 */
export function checkAdmission(
    situation: QueueState,
    counts: { readonly queuedTotal: number; readonly queuedOfAccount: number },
    bounds: QueueBounds,
    timeLeftMs: number,
): AdmissionDecision {
    const waitMs = estimateWaitMs(situation);
    if (counts.queuedOfAccount >= bounds.maxQueuedPerAccount) {
        return { admitted: false, reason: "account-queue-full", retryAfterMs: toRetryAfterMs(waitMs / 2) };
    }
    if (counts.queuedTotal >= bounds.maxQueuedTotal) {
        return { admitted: false, reason: "queue-full", retryAfterMs: toRetryAfterMs(waitMs / 2) };
    }
    const neededMs = waitMs === 0 ? 0 : waitMs + Math.min(estimateServiceMs(situation), timeLeftMs / 2);
    if (timeLeftMs <= 0 || neededMs > timeLeftMs) {
        const retryAfterMs = toRetryAfterMs(waitMs - Math.max(0, timeLeftMs) / 2);
        return { admitted: false, reason: "deadline", retryAfterMs };
    }
    return { admitted: true };
}

/** A time to come back that is neither at once nor never; milliseconds. */
export function toRetryAfterMs(ms: number): number {
    return Math.round(Math.min(retryAfterBoundsMs.max, Math.max(retryAfterBoundsMs.min, ms)));
}
