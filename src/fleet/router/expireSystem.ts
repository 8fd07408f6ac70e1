import { minRetryAfterMs } from "../../decisions/admission/admission.js";
import type { RetrySystem } from "./retrySystem.js";
import type { RouterState } from "./state.js";
import type { Timer } from "./timers.js";
import type { WithdrawSystem } from "./withdrawSystem.js";

/** Handles expired timers: deadlines, retry backoff, unacknowledged withdrawals, services without an agent. */
export class ExpireSystem {
    public constructor(
        private readonly state: RouterState,
        private readonly withdrawSystem: WithdrawSystem,
        private readonly retrySystem: RetrySystem,
    ) {}

    /** Handles all timers that are due. */
    public run(nowMs: number): void {
        for (let timer = this.take(nowMs); timer !== undefined; timer = this.take(nowMs)) {
            switch (timer.kind) {
                case "deadline":
                    this.handleDeadline(timer.key, nowMs);
                    break;
                case "answer-grace":
                    this.handleNoReply(timer.key, nowMs);
                    break;
                case "withdraw-repeat":
                    this.withdrawSystem.handleRepeat(timer.key, nowMs);
                    break;
                case "backoff":
                    this.retrySystem.handleBackoffElapsed(timer.key, nowMs);
                    break;
                case "no-target":
                    this.state.backlog.handleAllChanged();
                    break;
            }
        }
    }

    private take(nowMs: number): Timer | undefined {
        return this.state.timers.takeDue(nowMs);
    }

    /** Checks whether any agent accepts work for a service; called when a request arrives or an agent changes. */
    public checkService(service: string, nowMs: number): void {
        const { state } = this;
        if (state.agents.listForService(service).some(agent => agent.isAccepting)) {
            state.withoutAgentSinceMs.delete(service);
        } else if (!state.withoutAgentSinceMs.has(service)) {
            state.withoutAgentSinceMs.set(service, nowMs);
            state.timers.set("no-target", service, nowMs + state.options.noTargetWaitMs);
        }
    }

    private handleDeadline(requestId: string, nowMs: number): void {
        const { state } = this;
        const entry = state.requests.get(requestId);
        if (entry === undefined || entry.stage === "started") {
            return;
        }
        if (entry.stage === "waiting" || entry.stage === "delayed") {
            const detail = "the deadline passed before the request could start";
            state.refuse(entry, state.createRefusal("deadline", entry.execution, minRetryAfterMs, detail), nowMs);
            return;
        }
        this.withdrawSystem.withdraw(entry, "deadline", nowMs);
        state.timers.set("answer-grace", requestId, nowMs + state.options.replyGraceMs);
    }

    /** The agent reported neither a withdrawal nor a start, so this router can't determine whether the request ran. */
    private handleNoReply(requestId: string, nowMs: number): void {
        const { state } = this;
        const entry = state.requests.get(requestId);
        if (entry?.stage !== "withdrawing" || entry.agentId === undefined) {
            return;
        }
        state.addEffect({ type: "cancelWork", requestId, agentId: entry.agentId });
        state.refuse(entry, state.createRefusal("deadline", "unknown", undefined, "the agent does not answer"), nowMs);
    }
}
