import { computeModelCost } from "../../decisions/shares/costEstimate.js";
import type { RunOutcome } from "../agentMessages.js";
import type { AgentContext } from "./agentContext.js";
import type { RunningWork } from "./tables.js";

const smoothing = 0.1;
/** Calls that run long are looked at this often, as looking costs a step for each that runs; milliseconds. */
const elapsedCheckEveryMs = 100;

/** Charges what a running request has cost beyond its estimate. */
export function chargeProgress(context: AgentContext, requestId: string, tokens: number): void {
    const work = context.tables.running.get(requestId);
    if (work === undefined) {
        return;
    }
    const generatedTokens = work.generatedTokens + tokens;
    const cost = computeModelCost(work.request.promptTokens, generatedTokens);
    const charged = work.request.kind === "model" ? chargeUpTo(context, work, cost) : work;
    context.tables.setRunning({ ...charged, generatedTokens });
}

/**
 * Charges calls of plain services that have run beyond their estimate. Their cost is time, which passes without a
 * message; it is enough to look when a slot is given away, since only then does the order of accounts matter.
 */
export function chargeElapsed(context: AgentContext, nowMs: number): void {
    if (nowMs - context.elapsedChargedAtMs < elapsedCheckEveryMs) {
        return;
    }
    context.elapsedChargedAtMs = nowMs;
    for (const work of context.tables.running.values()) {
        const elapsedMs = nowMs - work.startedAtMs;
        if (work.request.kind === "plain" && elapsedMs > work.chargedCost) {
            context.tables.setRunning(chargeUpTo(context, work, elapsedMs));
        }
    }
}

/** The final count of a request that ended. */
export interface RunResult {
    readonly outcome: RunOutcome;
    readonly promptTokens: number;
    readonly generatedTokens: number;
    readonly pauseMs?: number;
}

/** Corrects the charge of an ended request to what it did cost, and learns from it. */
export function chargeFinal(context: AgentContext, work: RunningWork, final: RunResult, nowMs: number): number {
    const { request } = work;
    const row = context.getRow(request.service);
    const elapsedMs = nowMs - work.startedAtMs;
    const cost = computeFinalCost(work, final, elapsedMs);
    const charged = chargeUpTo(context, work, cost);
    if (charged.chargedCost > cost) {
        const refund = (charged.chargedCost - cost) / work.weight;
        row.ledger.recordRefund(request.clientAccount, refund, context.nextSequence);
        context.updateQueue(row, request.clientAccount);
    }
    if (final.outcome === "completed") {
        const amount = request.kind === "model" ? final.generatedTokens : elapsedMs;
        context.estimator.observe(request, work.hintClass, amount);
        observeDuration(context, work, cost, elapsedMs);
    }
    return cost;
}

function computeFinalCost(work: RunningWork, final: RunResult, elapsedMs: number): number {
    if (final.outcome === "refused-by-target") {
        return 0;
    }
    return work.request.kind === "model" ? computeModelCost(final.promptTokens, final.generatedTokens) : elapsedMs;
}

function chargeUpTo(context: AgentContext, work: RunningWork, cost: number): RunningWork {
    if (cost <= work.chargedCost) {
        return work;
    }
    const { service, clientAccount } = work.request;
    const row = context.getRow(service);
    row.ledger.chargeAccount(clientAccount, (cost - work.chargedCost) / work.weight, context.nextSequence);
    context.updateQueue(row, clientAccount);
    return { ...work, chargedCost: cost };
}

function observeDuration(context: AgentContext, work: RunningWork, cost: number, elapsedMs: number): void {
    const row = context.getRow(work.request.service);
    const msPerCost = elapsedMs / Math.max(1, cost);
    context.tables.services.set(row.service, { ...row, msPerCost: smooth(row.msPerCost, msPerCost) });
    context.serviceTimeMs = context.serviceTimeMs === 0 ? elapsedMs : smooth(context.serviceTimeMs, elapsedMs);
    if (work.workClass === "short") {
        context.reserve.observeDuration(elapsedMs);
    }
}

const smooth = (before: number | undefined, sample: number): number =>
    before === undefined ? sample : before + smoothing * (sample - before);
