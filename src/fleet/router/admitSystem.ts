import { checkAdmission } from "../../decisions/admission/admission.js";
import { computeAffinityHash } from "../../decisions/placement/placement.js";
import type { WorkRequest } from "../entities.js";
import type { CostEstimator } from "./costEstimator.js";
import type { RouterState } from "./state.js";
import type { Lane, RequestEntry } from "./tables.js";

/** When to come back to a service that has no agent; milliseconds. */
export const noTargetRetryAfterMs = 2_000;

/** Lets requests in or turns them away at once. */
export class AdmitSystem {
    public constructor(
        private readonly state: RouterState,
        private readonly costs: CostEstimator,
    ) {}

    /** Takes a caller's request. A repeat of an id that is still open is ignored. */
    public handleSubmitted(request: WorkRequest, homeAgentId: string | undefined, nowMs: number): void {
        if (this.state.requests.has(request.id)) {
            return;
        }
        const entry = createEntry(request, this.getLane(request, homeAgentId));
        this.state.recordRequest("request-accepted", entry);
        const refusal = this.check(entry, nowMs);
        if (refusal !== undefined) {
            this.state.refuse(entry, refusal, nowMs);
            return;
        }
        this.state.budget.recordFirstAttempt(request.clientAccount, nowMs);
        this.state.timers.set("deadline", request.id, request.deadlineAtMs);
        this.state.addToBacklog(entry, "last", nowMs);
        this.state.recordRequest("request-queued", entry);
    }

    /** The request goes on at another home; how often that may happen is the shell's to bound. */
    public handleDelegated(entry: RequestEntry, homeAgentId: string, nowMs: number): void {
        const { state } = this;
        state.removeFromStage(entry, nowMs);
        const moved: RequestEntry = { ...entry, lane: this.getLane(entry.request, homeAgentId), triedAgentIds: [] };
        state.addToBacklog(moved, "first", nowMs);
        state.recordRequest("request-queued", moved, { reason: "delegated" });
    }

    private check(entry: RequestEntry, nowMs: number): ReturnType<RouterState["createRefusal"]> | undefined {
        const { state } = this;
        if (state.isStopping) {
            return state.createRefusal("stopping", entry.execution, minStoppingRetryMs, "this router is stopping");
        }
        if (isKeyed(entry.request)) {
            const home = entry.lane.homeAgentId;
            // A home that takes nothing new still answers repeats, and hands new keys over to another home.
            if (home === undefined || state.agents.get(home)?.isLost !== false) {
                return state.createRefusal(
                    "no-target",
                    entry.execution,
                    noTargetRetryAfterMs,
                    "the key's home is away",
                );
            }
        }
        return this.checkBounds(entry, nowMs);
    }

    private checkBounds(entry: RequestEntry, nowMs: number): ReturnType<RouterState["createRefusal"]> | undefined {
        const { state } = this;
        const { document } = state;
        if (document === undefined) {
            return state.createRefusal(
                "no-target",
                entry.execution,
                noTargetRetryAfterMs,
                "no document is in force yet",
            );
        }
        const account = document.clientAccounts[entry.request.clientAccount];
        const count = state.requests.countAccount(entry.request.clientAccount);
        const laneKey = entry.lane.key;
        const isBacklogged = state.backlog.count(laneKey) > 0;
        const result = checkAdmission(
            {
                waitingTotal: state.requests.total.waiting,
                waitingOfAccount: count.waiting,
                openOfAccount: count.waiting + count.running,
                relativeWeight: state.getRelativeWeight(entry.request.clientAccount),
                expectedWaitMs: isBacklogged
                    ? state.getDrainRate(laneKey).estimateWaitMs(state.requests.countLane(laneKey) + 1, nowMs)
                    : undefined,
                remainingMs: entry.request.deadlineAtMs - nowMs,
            },
            {
                maxWaitingTotal: document.limits.maxWaitingTotal,
                maxWaiting: account?.maxWaiting ?? document.limits.maxWaitingPerAccount,
                maxOpen: account?.maxOpen ?? document.limits.maxOpenPerAccount,
            },
        );
        return result.match(
            () => undefined,
            ({ reason, retryAfterMs }) => state.createRefusal(reason, entry.execution, retryAfterMs, details[reason]),
        );
    }

    private getLane(request: WorkRequest, homeAgentId: string | undefined): Lane {
        const { document } = this.state;
        const workClass = document === undefined ? "short" : this.costs.estimateClass(request, document);
        const key = [request.service, request.clientAccount, workClass, homeAgentId ?? ""].join("\n");
        let lane = this.state.lanes.get(key);
        if (lane === undefined) {
            const { clientAccount, service } = request;
            lane = { key, clientAccount, service, workClass, homeAgentId };
            this.state.lanes.set(key, lane);
        }
        return lane;
    }
}

/** Enough for the balancer to notice that this router has left. */
const minStoppingRetryMs = 1_000;

const details = {
    "queue-full": "too many requests wait",
    "account-queue-full": "too many requests of this account are open",
    deadline: "the deadline can't be met",
};

function createEntry(request: WorkRequest, lane: Lane): RequestEntry {
    const { clientAccount, prefixHash } = request;
    return {
        request,
        lane,
        stage: "waiting",
        agentId: undefined,
        attempt: 0,
        failures: 0,
        sentAtMs: 0,
        triedAgentIds: [],
        withdrawReason: undefined,
        // A request with a key may be the repeat of one that ran through another router. Only the key's home can tell; a
        // "not-run" of this router's own would be taken for the key's, and the caller would do the call anew.
        execution: isKeyed(request) ? "unknown" : "not-run",
        affinityHash: prefixHash === undefined ? undefined : computeAffinityHash(clientAccount, prefixHash),
    };
}

function isKeyed(request: WorkRequest): boolean {
    return !request.idempotent && request.idempotencyKey !== undefined;
}
