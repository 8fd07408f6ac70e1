import { toRetryAfterMs } from "../../decisions/expectedWait.js";
import type { AgentContext } from "./agentContext.js";

/** Turns away what has waited beyond its deadline: its caller no longer waits, and a slot spent on it is lost. */
export function refuseExpired(context: AgentContext, nowMs: number): void {
    let next = context.deadlines.getLeast();
    while (next !== undefined && next.priority <= nowMs) {
        const work = context.tables.getQueued(next.key);
        context.deadlines.remove(next.key);
        if (work !== undefined) {
            context.removeQueued(work, nowMs);
            context.refuseRequest(work.request, {
                reason: "deadline",
                execution: "not-run",
                retryAfterMs: toRetryAfterMs(context.serviceTimeMs),
                detail: "The request waited beyond its deadline.",
            });
        }
        next = context.deadlines.getLeast();
    }
}
