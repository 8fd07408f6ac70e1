import { minRetryAfterMs } from "../../decisions/admission/admission.js";
import { computeBackoffMs } from "../../decisions/retries/backoff.js";
import { canRetry } from "../../decisions/retries/retryPolicy.js";
import type { Execution, Refusal } from "../entities.js";
import type { RouterState } from "./state.js";
import type { RequestEntry } from "./tables.js";

/** Decides what becomes of a request whose attempt did not end in an answer. */
export class RetrySystem {
    public constructor(private readonly state: RouterState) {}

    /** The way to the agent broke or the target failed. */
    public handleFailed(entry: RequestEntry, execution: Execution, detail: string, nowMs: number): void {
        const failed: RequestEntry = { ...entry, execution: getExecution(entry, execution) };
        const refusal = this.state.createRefusal("target-failed", failed.execution, minRetryAfterMs, detail);
        this.handleFailure(failed, execution, refusal, nowMs);
    }

    /** The agent turned the request away. */
    public handleRefused(entry: RequestEntry, refusal: Refusal, nowMs: number): void {
        const refused: RequestEntry = { ...entry, execution: getExecution(entry, refusal.execution) };
        const merged: Refusal = { ...refusal, execution: refused.execution };
        if (finalReasons.has(refusal.reason)) {
            this.state.refuse(refused, merged, nowMs);
        } else if (awayReasons.has(refusal.reason) && refusal.execution === "not-run") {
            this.handleAway(refused, merged, nowMs);
        } else {
            this.handleFailure(refused, refusal.execution, merged, nowMs);
        }
    }

    /** The agent gave the request back: it goes to another one, or ends if that was why it was asked back. */
    public handleWithdrawn(entry: RequestEntry, nowMs: number): void {
        const { state } = this;
        state.recordRequest("request-withdrawn", entry, { value: entry.attempt });
        if (entry.withdrawReason === "deadline") {
            this.refuseLate(entry, nowMs);
        } else if (entry.lane.homeAgentId !== undefined) {
            const detail = "the key's home gave the request back";
            state.refuse(entry, state.createRefusal("draining", "not-run", minRetryAfterMs, detail), nowMs);
        } else {
            this.addBack(entry, nowMs);
        }
    }

    /** The delay before a retry is over. */
    public handleBackoffElapsed(requestId: string, nowMs: number): void {
        const entry = this.state.requests.get(requestId);
        if (entry?.stage === "delayed") {
            this.state.addToBacklog(entry, "first", nowMs);
        }
    }

    /** An agent that drains turns everything away; that is no failure and takes nothing from the retry budget. */
    private handleAway(entry: RequestEntry, refusal: Refusal, nowMs: number): void {
        const agent = entry.agentId === undefined ? undefined : this.state.agents.get(entry.agentId);
        if (agent !== undefined) {
            this.state.agents.set({ ...agent, isAccepting: false });
        }
        if (entry.lane.homeAgentId !== undefined) {
            this.state.refuse(entry, refusal, nowMs);
        } else {
            this.addBack(entry, nowMs);
        }
    }

    /** The deadline's timer has gone off already, so that nothing else would end the request. */
    private refuseLate(entry: RequestEntry, nowMs: number): void {
        const detail = "the deadline passed before the request could start";
        const refusal = this.state.createRefusal("deadline", entry.execution, minRetryAfterMs, detail);
        this.state.refuse(entry, refusal, nowMs);
    }

    private addBack(entry: RequestEntry, nowMs: number): void {
        if (nowMs >= entry.request.deadlineAtMs) {
            this.refuseLate(entry, nowMs);
            return;
        }
        this.state.removeFromStage(entry, nowMs);
        this.state.addToBacklog(entry, "first", nowMs);
    }

    private handleFailure(entry: RequestEntry, execution: Execution, refusal: Refusal, nowMs: number): void {
        const { state } = this;
        const failures = entry.failures + 1;
        const { idempotent, clientAccount, deadlineAtMs } = entry.request;
        const boundToHome = entry.lane.homeAgentId !== undefined;
        if (
            nowMs >= deadlineAtMs ||
            !canRetry({ idempotent, execution, attempt: failures, boundToOwner: boundToHome })
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

/** Refusals that another agent would give too, or that only this one may give. */
const finalReasons: ReadonlySet<string> = new Set(["deadline", "key-unknown", "key-required"]);
/** Refusals of an agent that takes nothing new. */
const awayReasons: ReadonlySet<string> = new Set(["draining", "stopping"]);

/** A key's home speaks for all attempts that were made under the key; other agents for their own attempt only. */
function getExecution(entry: RequestEntry, execution: Execution): Execution {
    return entry.lane.homeAgentId === undefined ? mergeExecution(entry.execution, execution) : execution;
}

/** What is known after several attempts: one that may have run makes the whole "unknown", one that ran "ran". */
function mergeExecution(first: Execution, second: Execution): Execution {
    if (first === "ran" || second === "ran") {
        return "ran";
    }
    return first === "unknown" || second === "unknown" ? "unknown" : "not-run";
}
