/**
 * Whether a failed attempt may be sent again at all.
 *
 * Load pattern: lost connections and failing targets. Without it a pickup confirmation whose answer was lost is booked
 * twice. A retry is safe when the work does no harm twice, or when an authority said that it never ran; everything else
 * ends with the honest answer "unknown".
 * Threshold: four attempts; with independent failures of 10 % of the targets one in ten thousand requests would need
 * more, and more only prolongs a failure that is not independent.
 */
const maxAttempts = 4;

/** One attempt that did not end in an answer. */
export interface FailedAttempt {
    readonly idempotent: boolean;
    readonly execution: "not-run" | "unknown" | "ran";
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    /** Whether only one agent may run the request. */
    readonly boundToOwner: boolean;
}

/** Whether the policy allows another attempt; the budget is asked separately. */
export function canRetry(failed: FailedAttempt): boolean {
    if (failed.boundToOwner || failed.attempt >= maxAttempts) {
        return false;
    }
    return failed.idempotent || failed.execution === "not-run";
}
