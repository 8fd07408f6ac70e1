import type { AgentContext } from "./agentContext.js";
import { cancelRunning } from "./runSystem.js";

/** Withdraws a request on behalf of its router if it has not started. */
export function receiveWithdraw(
    context: AgentContext,
    requestId: string,
    incarnation: number | undefined,
    nowMs: number,
): void {
    const work = context.tables.getQueued(requestId);
    if (work !== undefined) {
        context.withdrawQueued(work, "asked for", nowMs);
        return;
    }
    // An earlier incarnation may have started the request, or its id may have been evicted from the recent ids. In
    // these cases the agent cannot confirm that the request never started, and a wrong confirmation would let it run
    // twice.
    const isOther = incarnation !== undefined && incarnation !== context.identity.incarnation;
    if (isOther || context.started.has(requestId) || !context.started.isComplete(nowMs)) {
        context.addEffect({ type: "withdrawRefused", requestId });
        return;
    }
    context.withdrawn.add(requestId, nowMs);
    context.record({ kind: "request-withdrawn", requestId, reason: "never offered", execution: "not-run" });
    context.addEffect({ type: "workWithdrawn", requestId });
}

/** Cancels a request whose caller or router has disconnected. */
export function receiveCancel(context: AgentContext, requestId: string, nowMs: number): void {
    const running = context.tables.running.get(requestId);
    if (running !== undefined) {
        cancelRunning(context, running);
        return;
    }
    const queued = context.tables.getQueued(requestId);
    if (queued !== undefined) {
        context.withdrawQueued(queued, "cancelled", nowMs);
        return;
    }
    if (!context.started.has(requestId)) {
        context.withdrawn.add(requestId, nowMs);
    }
}
