import { toRetryAfterMs } from "../../decisions/admission/expectedWait.js";
import type { AgentContext } from "./agentContext.js";

/** Refuses queued requests that can no longer complete by their deadline: a slot used for them would be wasted. */
export function refuseExpired(context: AgentContext, nowMs: number): void {
    let next = context.deadlines.getMin();
    while (next !== undefined && next.priority <= nowMs) {
        const work = context.tables.getQueued(next.key);
        context.deadlines.remove(next.key);
        if (work !== undefined) {
            context.removeQueued(work, nowMs);
            context.refuseRequest(work.request, {
                reason: "deadline",
                execution: "not-run",
                retryAfterMs: toRetryAfterMs(context.serviceTimeMs),
                detail: "The request has waited too long to be answered by its deadline.",
            });
        }
        next = context.deadlines.getMin();
    }
}
