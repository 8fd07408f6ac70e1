import type { GrantClient, GrantDemand, GrantOutcome } from "./grantClient.js";

/**
 * Requests a grant. An exception of `handleOutcome` gives back the grant and is passed to `handleError`: it would otherwise reach the
 * receiver of the owner's reply, and the request would wait forever.
 */
export function submitGuarded(
    grants: Pick<GrantClient, "submit">,
    demand: GrantDemand,
    handleOutcome: (outcome: GrantOutcome) => void,
    handleError: (error: unknown) => void,
): void {
    grants.submit(demand, outcome => {
        try {
            handleOutcome(outcome);
        } catch (error) {
            if (outcome.kind === "granted") {
                outcome.grant.report("not-run");
            }
            handleError(error);
        }
    });
}
