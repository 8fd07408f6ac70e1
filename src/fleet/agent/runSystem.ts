import type { AgentContext } from "./agentContext.js";
import { chargeFinal, type RunResult } from "./chargeSystem.js";
import type { RunOutcome } from "../agentMessages.js";
import type { Execution } from "../entities.js";
import type { RunningWork } from "./tables.js";

/** Notes the first output of a run: the window's and the circuit's measure of the target. */
export function receiveFirstOutput(context: AgentContext, requestId: string, nowMs: number): void {
    const work = context.tables.running.get(requestId);
    if (work === undefined || work.firstOutputAtMs !== undefined) {
        return;
    }
    const isMeasure = context.tables.isAwaitingOutput(requestId);
    context.tables.setRunning({ ...work, firstOutputAtMs: nowMs });
    context.circuit.observeFirstOutput();
    if (!isMeasure) {
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

/** Frees the slot of a run that ended and settles its cost. */
export function receiveEnd(context: AgentContext, requestId: string, final: RunResult, nowMs: number): void {
    const work = context.tables.running.get(requestId);
    if (work === undefined) {
        return;
    }
    // A short answer may end before its first output was told of; it is a measure all the same.
    if (final.outcome === "completed") {
        receiveFirstOutput(context, requestId, nowMs);
    }
    const cost = chargeFinal(context, work, final, nowMs);
    context.tables.removeRunning(work);
    context.getRow(work.request.service).ledger.recordActivity(work.request.clientAccount, nowMs);
    context.recordRequest("request-ended", work.request, {
        reason: final.outcome,
        execution: executions[final.outcome],
        value: cost,
    });
    observeOutcome(context, work, final, nowMs);
}

/** Stops a run whose caller has left, unless stopping it could leave a non-idempotent call half done. */
export function cancelRunning(context: AgentContext, work: RunningWork): void {
    const mustFinish = !work.request.idempotent && work.request.idempotencyKey !== undefined;
    if (work.cancelRequested || mustFinish) {
        return;
    }
    context.tables.setRunning({ ...work, cancelRequested: true });
    context.recordRequest("request-cancelled", work.request, {});
    context.addEffect({ type: "cancelRun", requestId: work.request.id });
}

/** Takes a first output that is overdue as a sign of cold, without waiting for it. */
export function checkLateOutputs(context: AgentContext, nowMs: number): void {
    const lateAtMs = getLateCheckAtMs(context);
    if (lateAtMs !== undefined && nowMs >= lateAtMs) {
        if (context.window.observeLateOutput(nowMs) !== undefined) {
            context.recordWindow("cold: late first output");
        }
        context.tables.clearAwaitingOutput();
    }
}

/** When the next first output will be overdue; undefined when none is awaited or the target is cold already. */
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

/** The target shows that it is cold, or was lost. */
export function receiveColdSign(context: AgentContext, reason: string, nowMs: number): void {
    if (context.window.observeColdSign(nowMs) !== undefined) {
        context.recordWindow(`cold: ${reason}`);
    }
    context.cachedPrefixes.clear();
    context.tables.clearAwaitingOutput();
}

function observeOutcome(context: AgentContext, work: RunningWork, final: RunResult, nowMs: number): void {
    const { id } = work.request;
    if (final.outcome === "completed") {
        context.circuit.observeSuccess();
        context.pause.recordResponse();
        context.recordWindow(context.window.observeSuccess(nowMs));
        return;
    }
    if (final.outcome === "cancelled") {
        context.circuit.observeNeutralEnd(id);
        return;
    }
    if (final.outcome === "refused-by-target") {
        receiveColdSign(context, "refused by target", nowMs);
    }
    // The target says itself when it takes requests again; counted as a failure, its refusal would close it for longer.
    if (final.pauseMs !== undefined && final.pauseMs > 0) {
        context.circuit.observeNeutralEnd(id);
        if (context.pause.record(final.pauseMs, nowMs)) {
            context.record({ kind: "window-changed", reason: "target pauses", value: 0 });
        }
        return;
    }
    // An engine that turns cold loses its runs, and its load report still tells of the time before. Were the freed slots
    // filled, the cold engine would get a full load and fall over again. A run that broke off for another reason costs the
    // window's growth, which comes back within some answers.
    if (final.outcome === "failed" && work.request.kind === "model") {
        receiveColdSign(context, "run broke off", nowMs);
    }
    if (context.circuit.observeFailure(id, nowMs)) {
        context.record({ kind: "window-changed", reason: "circuit open", value: 0 });
    }
}
