import type { ServiceCounter } from "../entities.js";
import type { AgentContext } from "./agentContext.js";

/** Takes what other agents have charged, as a router knows it. */
export function receiveClaims(context: AgentContext, claims: readonly ServiceCounter[], nowMs: number): void {
    context.lastExchangeAtMs = nowMs;
    for (const claim of claims) {
        const row = context.getRow(claim.service);
        if (row.ledger.mergeClaim(claim.clientAccount, claim, nowMs)) {
            context.updateQueue(row, claim.clientAccount);
        }
    }
}
