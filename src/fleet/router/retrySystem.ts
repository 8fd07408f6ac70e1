import { minRetryAfterMs } from "../../decisions/admission/admission.js";
import { computeBackoffMs } from "../../decisions/retries/backoff.js";
import { canRetry } from "../../decisions/retries/retryPolicy.js";
import type { Execution, Refusal } from "../entities.js";
import type { RouterState } from "./state.js";
import type { RequestEntry } from "./tables.js";

/** Decides whether a request whose attempt ended without a response is retried, moved or refused. */
export class RetrySystem {
    public constructor(private readonly state: RouterState) {}

    /** Handles an attempt that failed because the connection to the agent was lost or the target failed. */
    public handleFailed(entry: RequestEntry, execution: Execution, detail: string, nowMs: number): void {
        const failed: RequestEntry = { ...entry, execution: getExecution(entry, execution) };
        const refusal = this.state.createRefusal("target-failed", failed.execution, minRetryAfterMs, detail);
        this.handleFailure(failed, execution, refusal, nowMs);
    }

    /** Handles an attempt that the agent refused. */
    public handleRefused(entry: RequestEntry, refusal: Refusal, nowMs: number): void {
        const refused: RequestEntry = { ...entry, execution: getExecution(entry, refusal.execution) };
        const merged: Refusal = { ...refusal, execution: refused.execution };
        if (finalReasons.has(refusal.reason)) {
            this.state.refuse(refused, merged, nowMs);
        } else if (drainingReasons.has(refusal.reason) && refusal.execution === "not-run") {
            this.handleDraining(refused, merged, nowMs);
        } else {
            this.handleFailure(refused, refusal.execution, merged, nowMs);
        }
    }

    /**
     * Handles a withdrawn request: it returns to the backlog, unless it was withdrawn because of its deadline or is bound to
     * a key owner, in which case it is refused.
     */
    public handleWithdrawn(entry: RequestEntry, nowMs: number): void {
        const { state } = this;
        state.recordRequest("request-withdrawn", entry, { value: entry.attempt });
        if (entry.withdrawReason === "deadline") {
            this.refuseExpired(entry, nowMs);
        } else if (entry.lane.homeAgentId !== undefined) {
            const detail = "the key's home gave the request back";
            state.refuse(entry, state.createRefusal("draining", "not-run", minRetryAfterMs, detail), nowMs);
        } else {
            this.addToBacklogAgain(entry, nowMs);
        }
    }

    /** Returns a request to the backlog after its retry delay. */
    public handleBackoffElapsed(requestId: string, nowMs: number): void {
        const entry = this.state.requests.get(requestId);
        if (entry?.stage === "delayed") {
            this.state.addToBacklog(entry, "first", nowMs);
        }
    }

    /** A draining agent refuses all requests; that is not a failure and doesn't consume the retry budget. */
    private handleDraining(entry: RequestEntry, refusal: Refusal, nowMs: number): void {
        const agent = entry.agentId === undefined ? undefined : this.state.agents.get(entry.agentId);
        if (agent !== undefined) {
            this.state.agents.set({ ...agent, isAccepting: false });
        }
        if (entry.lane.homeAgentId !== undefined) {
            this.state.refuse(entry, refusal, nowMs);
        } else {
            this.addToBacklogAgain(entry, nowMs);
        }
    }

    /** Refuses a request whose deadline timer has already fired; nothing else would end the request. */
    private refuseExpired(entry: RequestEntry, nowMs: number): void {
        const detail = "the deadline passed before the request could start";
        const refusal = this.state.createRefusal("deadline", entry.execution, minRetryAfterMs, detail);
        this.state.refuse(entry, refusal, nowMs);
    }

    private addToBacklogAgain(entry: RequestEntry, nowMs: number): void {
        if (nowMs >= entry.request.deadlineAtMs) {
            this.refuseExpired(entry, nowMs);
            return;
        }
        this.state.removeFromStage(entry, nowMs);
        this.state.addToBacklog(entry, "first", nowMs);
    }

    private handleFailure(entry: RequestEntry, execution: Execution, refusal: Refusal, nowMs: number): void {
        const { state } = this;
        const failures = entry.failures + 1;
        const { idempotent, clientAccount, deadlineAtMs } = entry.request;
        const isBoundToOwner = entry.lane.homeAgentId !== undefined;
        if (
            nowMs >= deadlineAtMs ||
            !canRetry({ idempotent, execution, attempt: failures, boundToOwner: isBoundToOwner })
        ) {
            state.refuse(entry, refusal, nowMs);
            return;
        }
        if (!state.budget.takeRetry(clientAccount, state.document?.limits.retryRatio ?? 0, nowMs)) {
            const detail = `retries are used up (${refusal.detail})`;
            state.refuse(entry, { ...refusal, reason: "retry-budget", detail }, nowMs);
            return;
        }
        state.removeFromStage(entry, nowMs);
        const delayed: RequestEntry = {
            ...entry,
            stage: "delayed",
            agentId: undefined,
            failures,
            withdrawReason: undefined,
        };
        state.requests.set(delayed);
        const atMs = nowMs + computeBackoffMs(failures, state.random);
        state.timers.set("backoff", entry.request.id, atMs);
        state.recordRequest("request-retried", entry, { reason: refusal.reason, execution, value: failures });
    }
}

/** Refusals that every agent would return, or that only the key owner may return; they are not retried. */
const finalReasons: ReadonlySet<string> = new Set(["deadline", "key-unknown", "key-required"]);
/** Refusals of an agent that accepts no new work. */
const drainingReasons: ReadonlySet<string> = new Set(["draining", "stopping"]);

/** A key owner's status covers all attempts made under the key; any other agent's status covers its own attempt only. */
function getExecution(entry: RequestEntry, execution: Execution): Execution {
    return entry.lane.homeAgentId === undefined ? mergeExecution(entry.execution, execution) : execution;
}

/** Combined execution status of several attempts: "ran" if any attempt ran, else "unknown" if any may have run. */
function mergeExecution(first: Execution, second: Execution): Execution {
    if (first === "ran" || second === "ran") {
        return "ran";
    }
    return first === "unknown" || second === "unknown" ? "unknown" : "not-run";
}
