import type { RemovalBounds } from "../decisions/health/recordExpiryPolicy.js";

/**
 * How the time after which a leaving target must get nothing more is spent, at worst; milliseconds. The parts add up to that time:
 * whoever reads records or keeps targets takes its times from here.
 */
export interface DrainBudget {
    /** From one read of the targets' records to the next. */
    readonly periodMs: number;
    /** For so long a read waits for a change. */
    readonly waitMs: number;
    /** For so long beyond it the answer is waited for; then the read is lost. */
    readonly responseTimeoutMs: number;
    /** Until a lost read is repeated, at most. */
    readonly pauseMs: number;
    /** For the repeated read, and for requests that are on their way to the target. */
    readonly deliveryMs: number;
}

/** Parts of the whole; they add up to 1. A store that is slow but up answers within `answer`. */
const parts = { period: 0.5, wait: 0.05, answer: 0.2, pause: 0.1, delivery: 0.15 } as const;

/** Spends the time between a target's leaving, as the platform's store acknowledged it, and the last request that may reach it. */
export function computeDrainBudget(drainMs: number): DrainBudget {
    return {
        periodMs: drainMs * parts.period,
        waitMs: drainMs * parts.wait,
        responseTimeoutMs: drainMs * parts.answer,
        pauseMs: drainMs * parts.pause,
        deliveryMs: drainMs * parts.delivery,
    };
}

/** Bounds on how long a target may be kept whose record is gone. */
export function computeRemovalBounds({ drainMs, contactMs }: Omit<RemovalBounds, "deliveryMs">): RemovalBounds {
    return { drainMs, contactMs, deliveryMs: computeDrainBudget(drainMs).deliveryMs };
}
