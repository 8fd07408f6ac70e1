import { checkAdmission } from "../../decisions/admission/admission.js";
import { computeAffinityHash } from "../../decisions/placement/placement.js";
import type { WorkRequest } from "../entities.js";
import type { CostEstimator } from "./costEstimator.js";
import type { RouterState } from "./state.js";
import type { Lane, RequestEntry } from "./tables.js";

/** `Retry-After` for a service that no agent serves; milliseconds. */
export const noTargetRetryAfterMs = 2_000;

/** Admission control: queues a request or refuses it immediately. */
export class AdmitSystem {
    public constructor(
        private readonly state: RouterState,
        private readonly costs: CostEstimator,
    ) {}

    /** Admits a caller's request. A duplicate of a request ID that is still open is ignored. */
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

    /** Moves a request to another key owner. The code around the core limits how often a request is delegated. */
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
            const keyOwnerId = entry.lane.homeAgentId;
            // A key owner that accepts no new work still handles repeated keys, and delegates new keys to another owner.
            if (keyOwnerId === undefined || state.agents.get(keyOwnerId)?.isLost !== false) {
                return state.createRefusal(
                    "no-target",
                    entry.execution,
                    noTargetRetryAfterMs,
                    "the key's home is away",
                );
            }
        }
        return this.checkLimits(entry, nowMs);
    }

    private checkLimits(entry: RequestEntry, nowMs: number): ReturnType<RouterState["createRefusal"]> | undefined {
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
            ({ reason, retryAfterMs }) =>
                state.createRefusal(reason, entry.execution, retryAfterMs, refusalDetails[reason]),
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

/** Milliseconds; long enough for the load balancer to stop routing to this router. */
const minStoppingRetryMs = 1_000;

const refusalDetails = {
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
        // A request with an idempotency key may repeat one that ran through another router. Only the key owner has the
        // key's status. If this router reported "not-run", the caller would apply that to the key and repeat the call.
        execution: isKeyed(request) ? "unknown" : "not-run",
        affinityHash: prefixHash === undefined ? undefined : computeAffinityHash(clientAccount, prefixHash),
    };
}

function isKeyed(request: WorkRequest): boolean {
    return !request.idempotent && request.idempotencyKey !== undefined;
}
