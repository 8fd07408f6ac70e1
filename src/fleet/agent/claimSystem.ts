import type { ServiceCounter } from "../entities.js";
import type { AgentContext } from "./agentContext.js";

const smoothingFactor = 0.2;
/**
 * Limits of the horizon, the window in which other agents may have charged an account without their claims having
 * arrived yet; within the limits it equals the exchange period. With a shorter horizon accounts appear idle between two
 * exchanges; with a longer one small accounts wait longer. Milliseconds.
 */
const minHorizonMs = 250;
const maxHorizonMs = 10_000;
const defaultExchangePeriodMs = 1_000;
const maxTrackedRouters = 1_000;

/** Merges the charges of other agents, as sent by a router. */
export function receiveClaims(
    context: AgentContext,
    routerId: string,
    claims: readonly ServiceCounter[],
    source: "exchange" | "work",
    nowMs: number,
): void {
    // Claims sent with an offer carry the counters of one account; their frequency is unrelated to the exchange period.
    if (source === "exchange") {
        observePeriod(context, routerId, nowMs);
    }
    context.lastExchangeAtMs = nowMs;
    for (const claim of claims) {
        const row = context.getRow(claim.service);
        if (row.ledger.mergeClaim(claim.clientAccount, claim, nowMs)) {
            context.updateQueue(row, claim.clientAccount);
        }
    }
}

/** Adds the charges that other agents have probably made since their last claims. */
export function advanceHorizons(context: AgentContext, nowMs: number): void {
    const horizonMs = Math.max(minHorizonMs, context.exchangePeriodMs ?? defaultExchangePeriodMs);
    for (const row of context.tables.services.values()) {
        if (row.queue.size > 0 && row.ledger.advanceHorizon(nowMs, horizonMs)) {
            row.queue.listAccounts().forEach(clientAccount => context.updateQueue(row, clientAccount));
        }
    }
}

function observePeriod(context: AgentContext, routerId: string, nowMs: number): void {
    const previousAtMs = context.lastExchangeAtMsByRouter.get(routerId);
    // Restarted routers get new ids, so old ids would accumulate.
    if (context.lastExchangeAtMsByRouter.size >= maxTrackedRouters) {
        context.lastExchangeAtMsByRouter.clear();
    }
    context.lastExchangeAtMsByRouter.set(routerId, nowMs);
    if (previousAtMs !== undefined) {
        const periodMs = Math.min(maxHorizonMs, nowMs - previousAtMs);
        const smoothed = context.exchangePeriodMs ?? periodMs;
        context.exchangePeriodMs = smoothed + smoothingFactor * (periodMs - smoothed);
    }
}
