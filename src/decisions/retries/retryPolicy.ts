/**
 * Decides whether a failed attempt may be retried at all.
 *
 * Load pattern: lost connections and failing targets. Without this policy, a pickup confirmation whose response was
 * lost would be booked twice. A retry is safe if the work is idempotent, or if an authority reported that it was not
 * executed; all other requests end with the outcome "unknown".
 *
 * Threshold: four attempts. If attempts fail independently at 10 % of the targets, one in ten thousand requests needs
 * more, and for failures that are not independent further attempts only prolong the failure.
 */
const maxAttempts = 4;

/** One attempt that ended without a response. */
export interface FailedAttempt {
    readonly idempotent: boolean;
    readonly execution: "not-run" | "unknown" | "ran";
    /** Number of the attempt, starting at 1. */
    readonly attempt: number;
    /** Whether only one agent, the key owner, may run the request. */
    readonly boundToOwner: boolean;
}

/** Whether the policy allows another attempt; the retry budget is checked separately. */
export function canRetry(failed: FailedAttempt): boolean {
    if (failed.boundToOwner || failed.attempt >= maxAttempts) {
        return false;
    }
    return failed.idempotent || failed.execution === "not-run";
}
