/**
 * Admission control of a router: decides whether a request may be queued or is refused immediately.
 *
 * Load pattern: saturation, and overload by a single account. Without admission control the queue grows until every request in it is
 * late: callers time out, targets execute requests whose response is no longer needed, and one account's requests fill the memory that
 * other accounts need.
 *
 * Thresholds: an account's queue is bounded by a dynamic threshold (Choudhury and Hahne, 1998): a multiple of the queue capacity
 * that is still free. A single overloading account therefore leaves at least 1 / (1 + multiple) of the total free, and n
 * such accounts leave 1 / (1 + n x multiple), without reserving capacity that may never be used. The multiple
 * grows with the account's weight: a heavier account's queue drains faster, so a longer queue doesn't mean a longer wait.
 */
import { err, ok, type Result } from "neverthrow";

/** Limits from the configuration document. */
export interface AdmissionLimits {
    /** Waiting requests over all accounts. */
    readonly maxWaitingTotal: number;
    /** Waiting requests of this account. */
    readonly maxWaiting: number;
    /** Waiting and running requests of this account. */
    readonly maxOpen: number;
}

/** State of the router's queues when a request arrives. */
export interface AdmissionView {
    readonly waitingTotal: number;
    readonly waitingOfAccount: number;
    readonly openOfAccount: number;
    /** The account's weight divided by the mean weight of all accounts. */
    readonly relativeWeight: number;
    /** Time in which the account's queue is expected to drain; undefined before the drain rate has been measured. */
    readonly expectedWaitMs: number | undefined;
    /** Time remaining until the caller's deadline. */
    readonly remainingMs: number;
}

/** Why a request is not queued, and after which time the caller should retry. */
export interface AdmissionRefusal {
    readonly reason: "queue-full" | "account-queue-full" | "deadline";
    readonly retryAfterMs: number;
}

/** Lower bound of the retry delay: earlier retries only add load. */
export const minRetryAfterMs = 1_000;
/** Upper bound of the retry delay: a caller that has to wait longer is better served by another service. */
export const maxRetryAfterMs = 60_000;

/** Queue limit of an account of mean weight or less, as a multiple of the free queue capacity. */
const minThresholdMultiple = 1;
/** The same for the heaviest account; it still leaves a ninth of the total queue to all other accounts. */
const maxThresholdMultiple = 8;

/** Maximum queue length of one account while `waitingTotal` requests are queued; at least one. */
export function computeDynamicThreshold(maxWaitingTotal: number, waitingTotal: number, relativeWeight: number): number {
    const multiple = Math.min(maxThresholdMultiple, Math.max(minThresholdMultiple, relativeWeight));
    return Math.max(1, Math.floor(multiple * (maxWaitingTotal - waitingTotal)));
}

/** Checks whether a request may be queued. The error is the refusal; a refused request has never been executed. */
export function checkAdmission(view: AdmissionView, limits: AdmissionLimits): Result<"admitted", AdmissionRefusal> {
    const expectedWaitMs = view.expectedWaitMs ?? 0;
    if (view.remainingMs <= 0 || expectedWaitMs > view.remainingMs) {
        return err({ reason: "deadline", retryAfterMs: computeRetryAfter(expectedWaitMs - view.remainingMs) });
    }
    if (view.waitingTotal >= limits.maxWaitingTotal) {
        return err({ reason: "queue-full", retryAfterMs: computeRetryAfter(expectedWaitMs) });
    }
    const threshold = computeDynamicThreshold(limits.maxWaitingTotal, view.waitingTotal, view.relativeWeight);
    const isOverOwnLimit = view.waitingOfAccount >= limits.maxWaiting || view.openOfAccount >= limits.maxOpen;
    if (isOverOwnLimit || view.waitingOfAccount >= threshold) {
        return err({ reason: "account-queue-full", retryAfterMs: computeRetryAfter(expectedWaitMs) });
    }
    return ok("admitted");
}

function computeRetryAfter(ms: number): number {
    return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.round(ms)));
}
