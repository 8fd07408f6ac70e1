import type { Clock } from "../base/clock.js";
import type { RemovalBounds, StoreContact } from "../decisions/health/recordExpiryPolicy.js";

/**
 * Divides the time within which a leaving target must stop receiving requests into the delays that add up in the worst case;
 * milliseconds. The parts add up to that time, so the readers of records and the code that keeps removed targets derive their timeouts
 * from here.
 */
export interface DrainBudget {
    /** Time between the starts of two reads of the targets' records. */
    readonly periodMs: number;
    /** Time that a read waits at the store for a change. */
    readonly waitMs: number;
    /** Time beyond `waitMs` until a read without a response counts as failed. */
    readonly responseTimeoutMs: number;
    /** Maximum pause before a failed read is repeated. */
    readonly pauseMs: number;
    /** Time for the repeated read and for requests that are in transit to the target. */
    readonly deliveryMs: number;
}

/** Fractions of the whole time; they add up to 1. A slow but working store responds within the fraction `answer`. */
const fractions = { period: 0.5, wait: 0.05, answer: 0.2, pause: 0.1, delivery: 0.15 } as const;

/** Divides the time from the store's acknowledgement that a target is leaving to the last request that may reach the target. */
export function computeDrainBudget(drainMs: number): DrainBudget {
    return {
        periodMs: drainMs * fractions.period,
        waitMs: drainMs * fractions.wait,
        responseTimeoutMs: drainMs * fractions.answer,
        pauseMs: drainMs * fractions.pause,
        deliveryMs: drainMs * fractions.delivery,
    };
}

/** Computes the limits on how long a target is kept after its record was removed. */
export function computeRemovalBounds({ drainMs, contactMs }: Omit<RemovalBounds, "deliveryMs">): RemovalBounds {
    return { drainMs, contactMs, deliveryMs: computeDrainBudget(drainMs).deliveryMs };
}

/** Whether the view of the targets is as recent as regular reads of a store that responds in time make it. */
export function hasFreshView(
    { drainMs }: Pick<RemovalBounds, "drainMs">,
    { coveredUntilMs }: Pick<StoreContact, "coveredUntilMs">,
    clock: Clock,
): boolean {
    const { periodMs, waitMs, responseTimeoutMs } = computeDrainBudget(drainMs);
    return coveredUntilMs !== undefined && clock.nowMs() - coveredUntilMs <= periodMs + waitMs + responseTimeoutMs;
}
