import { checkAdmission, computeLatestStartMs, type QueueState } from "../../decisions/admission/expectedWait.js";
import { idleAfterMs } from "../../decisions/shares/serviceLedger.js";
import type { Refusal, WorkRequest } from "../entities.js";
import type { AgentContext } from "./agentContext.js";
import type { QueuedWork, ServiceRow } from "./tables.js";

/** Long work is whatever the document says; without a word on the service everything is short. */
const noLongWork = Number.POSITIVE_INFINITY;

/** Lets an offered request wait, or turns it away at once. */
export function receiveOffer(context: AgentContext, request: WorkRequest, routerId: string, nowMs: number): void {
    const { tables } = context;
    // A second offer of a request that is here: the first one's answer serves both, and it must not run twice.
    if (tables.running.has(request.id) || tables.getQueued(request.id) !== undefined) {
        return;
    }
    const refusal = checkKnown(context, request) ?? checkPhase(context, request);
    if (refusal !== undefined) {
        context.refuseRequest(request, refusal);
        return;
    }
    const row = context.getRow(request.service);
    const work = createQueuedWork(context, request, routerId, nowMs);
    const situation = createSituation(context, row, work, nowMs);
    const counts = {
        queuedTotal: context.tables.countQueued(),
        queuedOfAccount: row.queue.countWaiting(work.clientAccount),
    };
    const decision = checkAdmission(situation, counts, context.options, request.deadlineAtMs - nowMs);
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
    context.deadlines.set(work.id, computeLatestStartMs(situation, nowMs, request.deadlineAtMs));
}

/**
 * An offer that its own withdrawal has overtaken must not start: the router was told "withdrawn" and has moved the
 * request on, so it would run twice. One refusal is enough, as each offer is sent once; a router that offers
 * the request here again does so by choice.
 */
function checkKnown(context: AgentContext, request: WorkRequest): Refusal | undefined {
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
    const longFromCost = context.document?.services[request.service]?.longFromCost ?? noLongWork;
    const { cost, charge, workClass, hintClass } = context.estimator.estimate(request, longFromCost);
    const { id, clientAccount } = request;
    return { id, clientAccount, cost, charge, workClass, hintClass, request, routerId, queuedAtMs: nowMs };
}

function createSituation(context: AgentContext, row: ServiceRow, work: QueuedWork, nowMs: number): QueueState {
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
 * Whether an account returns from a rest. An agent that has not heard from any router of late cannot tell rest from work
 * elsewhere: after a partition it would take the right of an account that lags for saved-up credit. What such
 * an account may then catch up is limited by the cap.
 */
function hasRested(context: AgentContext, row: ServiceRow, clientAccount: string, nowMs: number): boolean {
    const { lastExchangeAtMs, tables } = context;
    const hasWork = row.queue.countWaiting(clientAccount) + tables.countRunning(row.service, clientAccount) > 0;
    const hasNews = lastExchangeAtMs === undefined || nowMs - lastExchangeAtMs <= idleAfterMs;
    return !hasWork && hasNews && row.ledger.isIdle(clientAccount, nowMs);
}

function addToQueue(context: AgentContext, row: ServiceRow, work: QueuedWork, nowMs: number): void {
    const { clientAccount, request } = work;
    const { ledger, queue } = row;
    if (hasRested(context, row, clientAccount, nowMs)) {
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
