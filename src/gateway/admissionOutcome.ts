import { zeroUsage, type ShareUsage } from "../decisions/shares/accountShares.js";
import type { RouterResponseReason } from "./routerResponse.js";
import type { Selection } from "./targetSelector.js";

/**
 * What the decision on a prompt was based on: the reply of an engine's owner ("owner"), this router's own estimates because the owner
 * did not reply ("beliefs"), or the cached denial of an owner ("memory"). "none": no prompt to prefill, or no target.
 */
export type DecisionSource = "owner" | "beliefs" | "memory" | "none";

/** Details of an admission decision, for the log. */
export interface AdmissionDetails {
    /** Service that the account has received, relative to its share and to the surplus. */
    readonly shareUse: ShareUsage;
    /** Number of owners that were asked for a grant, and of those that did not reply. */
    readonly ownersAsked: number;
    readonly ownersSilent: number;
    readonly decidedBy: DecisionSource;
    /** Time from the request's arrival to the decision; milliseconds, undefined without a decision. */
    readonly decisionMs: number | undefined;
}

/** Details of a request for which no decision was made. */
export const emptyAdmission: AdmissionDetails = {
    shareUse: zeroUsage,
    ownersAsked: 0,
    ownersSilent: 0,
    decidedBy: "none",
    decisionMs: undefined,
};

/** The selection for a request's first attempt, or why the request is refused. */
export type AdmissionOutcome = { readonly details: AdmissionDetails } & (
    | { readonly selection: Selection }
    | { readonly selection: undefined; readonly reason: RouterResponseReason; readonly retryAfterMs: number }
);
