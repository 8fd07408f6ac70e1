import type { ServiceCounter } from "../entities.js";
import type { AgentContext } from "./agentContext.js";

const smoothing = 0.2;
/**
 * Bounds on the time that counts as without news; between them it is the exchange's period. A shorter one
 * takes accounts for idle between two exchanges; with a longer one small accounts wait longer.
 */
const leastHorizonMs = 250;
const greatestHorizonMs = 10_000;
const usualPeriodMs = 1_000;
const mostRouters = 1_000;

/** Takes what other agents have charged, as a router knows it. */
export function receiveClaims(
    context: AgentContext,
    routerId: string,
    claims: readonly ServiceCounter[],
    source: "exchange" | "work",
    nowMs: number,
): void {
    // Claims that come along with work carry one account's counters; how often they come says nothing of the exchange.
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

/** Counts charges that others have probably made since their last news. */
export function advanceHorizons(context: AgentContext, nowMs: number): void {
    const horizonMs = Math.max(leastHorizonMs, context.exchangePeriodMs ?? usualPeriodMs);
    for (const row of context.tables.services.values()) {
        if (row.queue.size > 0 && row.ledger.advanceHorizon(nowMs, horizonMs)) {
            row.queue.listAccounts().forEach(clientAccount => context.updateQueue(row, clientAccount));
        }
    }
}

function observePeriod(context: AgentContext, routerId: string, nowMs: number): void {
    const before = context.lastExchangeAtMsByRouter.get(routerId);
    // Routers come and go under new names.
    if (context.lastExchangeAtMsByRouter.size >= mostRouters) {
        context.lastExchangeAtMsByRouter.clear();
    }
    context.lastExchangeAtMsByRouter.set(routerId, nowMs);
    if (before !== undefined) {
        const periodMs = Math.min(greatestHorizonMs, nowMs - before);
        const smoothed = context.exchangePeriodMs ?? periodMs;
        context.exchangePeriodMs = smoothed + smoothing * (periodMs - smoothed);
    }
}
