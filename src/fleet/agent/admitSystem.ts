import { checkAdmission, computeLatestStartMs, type QueueState } from "../../decisions/admission/expectedWait.js";
import { idleAfterMs } from "../../decisions/shares/serviceLedger.js";
import type { Refusal, WorkRequest } from "../entities.js";
import type { AgentContext } from "./agentContext.js";
import type { QueuedWork, ServiceRow } from "./tables.js";

/** Cost from which work counts as long when the document does not list the service: all work is short. */
const defaultLongFromCost = Number.POSITIVE_INFINITY;

/** Queues an offered request, or refuses it immediately. */
export function receiveOffer(context: AgentContext, request: WorkRequest, routerId: string, nowMs: number): void {
    const { tables } = context;
    // A repeated offer of a queued or running request is ignored: the request must not run twice, and the reply to the
    // first offer covers both.
    if (tables.running.has(request.id) || tables.getQueued(request.id) !== undefined) {
        return;
    }
    const refusal = checkDuplicate(context, request) ?? checkPhase(context, request);
    if (refusal !== undefined) {
        context.refuseRequest(request, refusal);
        return;
    }
    const row = context.getRow(request.service);
    const work = createQueuedWork(context, request, routerId, nowMs);
    const queueState = createQueueState(context, row, work, nowMs);
    const counts = {
        queuedTotal: context.tables.countQueued(),
        queuedOfAccount: row.queue.countWaiting(work.clientAccount),
    };
    const decision = checkAdmission(queueState, counts, context.options, request.deadlineAtMs - nowMs);
    if (!decision.admitted) {
        context.refuseRequest(request, {
            reason: decision.reason,
            execution: "not-run",
            retryAfterMs: decision.retryAfterMs,
            detail: `The target cannot take the request in time (${decision.reason}).`,
        });
        return;
    }
    addToQueue(context, row, work, nowMs);
    context.deadlines.set(work.id, computeLatestStartMs(queueState, nowMs, request.deadlineAtMs));
}

/**
 * Refuses an offer that arrives after its own withdrawal: the router has received "withdrawn" and may have sent the
 * request to another agent, so starting it here would run it twice. The id is removed after one refusal, as a router
 * sends each offer once; a later offer of the same request is a deliberate new one. Also refuses a non-idempotent
 * request that has already been started here.
 */
function checkDuplicate(context: AgentContext, request: WorkRequest): Refusal | undefined {
    if (context.withdrawn.has(request.id)) {
        context.withdrawn.remove(request.id);
        return createRefusal("duplicate", "not-run", "The request was withdrawn before it arrived.");
    }
    if (!request.idempotent && context.started.has(request.id)) {
        return createRefusal("duplicate", "unknown", "The request has been started here before.");
    }
    return undefined;
}

function checkPhase(context: AgentContext, request: WorkRequest): Refusal | undefined {
    if (context.phase === "leaving") {
        return createRefusal("stopping", "not-run", "The agent is stopping.");
    }
    if (context.phase !== "serving") {
        return createRefusal("draining", "not-run", `The target takes no new work (${context.phase}).`);
    }
    if (!context.listServices().includes(request.service)) {
        return createRefusal("no-target", "not-run", "The target does not serve this service.");
    }
    return undefined;
}

function createRefusal(reason: Refusal["reason"], execution: Refusal["execution"], detail: string): Refusal {
    return { reason, execution, retryAfterMs: undefined, detail };
}

function createQueuedWork(context: AgentContext, request: WorkRequest, routerId: string, nowMs: number): QueuedWork {
    const longFromCost = context.document?.services[request.service]?.longFromCost ?? defaultLongFromCost;
    const { cost, charge, workClass, hintClass } = context.estimator.estimate(request, longFromCost);
    const { id, clientAccount } = request;
    return { id, clientAccount, cost, charge, workClass, hintClass, request, routerId, queuedAtMs: nowMs };
}

function createQueueState(context: AgentContext, row: ServiceRow, work: QueuedWork, nowMs: number): QueueState {
    const { tables, window } = context;
    const accountWeight = context.getWeight(work.clientAccount);
    const isBacklogged = row.queue.countWaiting(work.clientAccount) > 0;
    return {
        freeSlots: window.limit - tables.running.size,
        window: window.limit,
        msPerCost: row.msPerCost,
        waitingCost: row.queue.waitingCost,
        accountWaitingCost: row.queue.getAccountCost(work.clientAccount),
        accountWeight,
        cost: work.cost,
        backloggedWeight: row.queue.backloggedWeight + (isBacklogged ? 0 : accountWeight),
        pausedForMs: Math.max(0, (context.circuit.probeAtMs ?? nowMs) - nowMs, context.pause.computeRemainingMs(nowMs)),
    };
}

/**
 * Whether an account returns from an idle period, so that its service must be raised to that of the active accounts. An
 * agent that has received no exchange for `idleAfterMs` cannot distinguish an idle account from one that is served by
 * other agents: after a partition it would treat an account that is owed service as one with saved-up credit. Such an
 * account is not raised here; the catch-up cap limits how much service it may catch up.
 */
function isReturningFromIdle(context: AgentContext, row: ServiceRow, clientAccount: string, nowMs: number): boolean {
    const { lastExchangeAtMs, tables } = context;
    const hasWork = row.queue.countWaiting(clientAccount) + tables.countRunning(row.service, clientAccount) > 0;
    const hasRecentExchange = lastExchangeAtMs === undefined || nowMs - lastExchangeAtMs <= idleAfterMs;
    return !hasWork && hasRecentExchange && row.ledger.isIdle(clientAccount, nowMs);
}

function addToQueue(context: AgentContext, row: ServiceRow, work: QueuedWork, nowMs: number): void {
    const { clientAccount, request } = work;
    const { ledger, queue } = row;
    if (isReturningFromIdle(context, row, clientAccount, nowMs)) {
        const floor = ledger.getRange(queue.listAccounts())?.min ?? ledger.getReturnFloor(nowMs);
        ledger.applyLift(clientAccount, floor, context.nextSequence);
    }
    ledger.recordActivity(clientAccount, nowMs);
    queue.add(work, ledger.getExpectedService(clientAccount), context.getWeight(clientAccount));
    if (work.workClass === "short") {
        context.reserve.observeArrival(nowMs);
    }
    context.recordRequest("request-queued", request, { reason: work.workClass, value: work.cost });
}
