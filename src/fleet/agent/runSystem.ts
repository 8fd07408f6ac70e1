import type { AgentContext } from "./agentContext.js";
import { chargeFinal, type RunResult } from "./chargeSystem.js";
import type { RunOutcome } from "../agentMessages.js";
import type { Execution } from "../entities.js";
import type { RunningWork } from "./tables.js";

/**
 * Records the first output of a run; the window and the circuit breaker use its delay as a measurement of the target.
 */
export function receiveFirstOutput(context: AgentContext, requestId: string, nowMs: number): void {
    const work = context.tables.running.get(requestId);
    if (work === undefined || work.firstOutputAtMs !== undefined) {
        return;
    }
    const isMeasured = context.tables.isAwaitingOutput(requestId);
    context.tables.setRunning({ ...work, firstOutputAtMs: nowMs });
    context.circuit.observeFirstOutput();
    if (!isMeasured) {
        return;
    }
    const delayMs = nowMs - work.startedAtMs;
    const output = {
        workClass: work.workClass,
        promptTokens: work.request.promptTokens,
        delayMs,
        running: context.tables.running.size,
    };
    context.recordWindow(context.window.observeFirstOutput(output, nowMs));
}

const executions: Readonly<Record<RunOutcome, Execution>> = {
    completed: "ran",
    failed: "unknown",
    "target-error": "unknown",
    cancelled: "unknown",
    "refused-by-target": "not-run",
};

/** Frees the slot of a run that ended and corrects its charge to the actual cost. */
export function receiveEnd(context: AgentContext, requestId: string, result: RunResult, nowMs: number): void {
    const work = context.tables.running.get(requestId);
    if (work === undefined) {
        return;
    }
    // A short response may complete before its first output is reported; its delay is measured as well.
    if (result.outcome === "completed") {
        receiveFirstOutput(context, requestId, nowMs);
    }
    const cost = chargeFinal(context, work, result, nowMs);
    context.tables.removeRunning(work);
    context.getRow(work.request.service).ledger.recordActivity(work.request.clientAccount, nowMs);
    context.recordRequest("request-ended", work.request, {
        reason: result.outcome,
        execution: executions[result.outcome],
        value: cost,
    });
    observeOutcome(context, work, result, nowMs);
}

/** Cancels a run whose caller has disconnected, unless that could leave a non-idempotent call with a key incomplete. */
export function cancelRunning(context: AgentContext, work: RunningWork): void {
    const mustFinish = !work.request.idempotent && work.request.idempotencyKey !== undefined;
    if (work.cancelRequested || mustFinish) {
        return;
    }
    context.tables.setRunning({ ...work, cancelRequested: true });
    context.recordRequest("request-cancelled", work.request, {});
    context.addEffect({ type: "cancelRun", requestId: work.request.id });
}

/** Treats an overdue first output as a sign that the target is cold, without waiting for the output. */
export function checkLateOutputs(context: AgentContext, nowMs: number): void {
    const lateAtMs = getLateCheckAtMs(context);
    if (lateAtMs !== undefined && nowMs >= lateAtMs) {
        if (context.window.observeLateOutput(nowMs) !== undefined) {
            context.recordWindow("cold: late first output");
        }
        context.tables.clearAwaitingOutput();
    }
}

/** Time at which the next first output becomes overdue; undefined if none is awaited or the target is already cold. */
export function getLateCheckAtMs(context: AgentContext): number | undefined {
    const { window, tables } = context;
    if (window.isCold) {
        return undefined;
    }
    let earliest: number | undefined;
    for (const workClass of ["short", "long"] as const) {
        const work = tables.getAwaitingOutput(workClass);
        const lateAfterMs = work && window.getLateAfterMs(workClass, work.request.promptTokens);
        if (work === undefined || lateAfterMs === undefined) {
            continue;
        }
        const lateAtMs = work.startedAtMs + lateAfterMs;
        earliest = earliest === undefined ? lateAtMs : Math.min(earliest, lateAtMs);
    }
    return earliest;
}

/** Handles a sign that the target is cold or lost: shrinks the window and clears what is recorded of its caches. */
export function receiveColdSign(context: AgentContext, reason: string, nowMs: number): void {
    if (context.window.observeColdSign(nowMs) !== undefined) {
        context.recordWindow(`cold: ${reason}`);
    }
    context.cachedPrefixes.clear();
    context.tables.clearAwaitingOutput();
}

function observeOutcome(context: AgentContext, work: RunningWork, result: RunResult, nowMs: number): void {
    const { id } = work.request;
    if (result.outcome === "completed") {
        context.circuit.observeSuccess();
        context.pause.recordResponse();
        context.recordWindow(context.window.observeSuccess(nowMs));
        return;
    }
    if (result.outcome === "cancelled") {
        context.circuit.observeNeutralEnd(id);
        return;
    }
    if (result.outcome === "refused-by-target") {
        receiveColdSign(context, "refused by target", nowMs);
    }
    // The response names the time after which the target accepts requests again. Counted as a failure, it would open
    // the circuit for longer than that.
    if (result.pauseMs !== undefined && result.pauseMs > 0) {
        context.circuit.observeNeutralEnd(id);
        if (context.pause.record(result.pauseMs, nowMs)) {
            context.record({ kind: "window-changed", reason: "target pauses", value: 0 });
        }
        return;
    }
    // An engine that turns cold loses its runs, while its load report still shows the state before. Filling the freed
    // slots would put full load on the cold engine and make it fail again. If a run failed for another reason, the
    // window shrinks without need, but it grows back within a few responses.
    if (result.outcome === "failed" && work.request.kind === "model") {
        receiveColdSign(context, "run broke off", nowMs);
    }
    if (context.circuit.observeFailure(id, nowMs)) {
        context.record({ kind: "window-changed", reason: "circuit open", value: 0 });
    }
}
