import type { AgentContext } from "./agentContext.js";
import type { QueuedWork, RunningWork, ServiceRow } from "./tables.js";

/** Starts waiting work while the target has room, the backlogged account with the least service first. */
export function startWork(context: AgentContext, nowMs: number): void {
    while (canStart(context, nowMs)) {
        const allowLong = canStartLong(context, nowMs);
        const row = chooseService(context, allowLong);
        if (row === undefined) {
            return;
        }
        const work = takeNext(context, row, allowLong, nowMs);
        if (work === undefined) {
            return;
        }
        startOne(context, row, work, nowMs);
    }
}

/** Whether long work waits that only the reserve for short work holds back. */
export function isLongHeldBack(context: AgentContext, nowMs: number): boolean {
    if (!canStart(context, nowMs) || canStartLong(context, nowMs)) {
        return false;
    }
    for (const row of context.tables.services.values()) {
        if (row.queue.hasLong()) {
            return true;
        }
    }
    return false;
}

function canStart(context: AgentContext, nowMs: number): boolean {
    return (
        context.phase === "serving" &&
        context.tables.running.size < context.window.limit &&
        context.circuit.canStart(nowMs) &&
        context.pause.canStart(nowMs)
    );
}

function canStartLong(context: AgentContext, nowMs: number): boolean {
    const limit = context.window.limit;
    return context.tables.runningLongCount < limit - context.reserve.getReservedSlots(limit, nowMs);
}

/**
 * The service that goes next: the one with the fewest running requests, then the one that has not started for
 * longest. Units of different services cannot be compared, so services share a target's slots evenly.
 */
function chooseService(context: AgentContext, allowLong: boolean): ServiceRow | undefined {
    let chosen: ServiceRow | undefined;
    for (const row of context.tables.services.values()) {
        if (row.queue.getNext(allowLong) === undefined) {
            continue;
        }
        const isBefore =
            chosen === undefined ||
            row.running < chosen.running ||
            (row.running === chosen.running && row.lastStartNumber < chosen.lastStartNumber);
        if (isBefore) {
            chosen = row;
        }
    }
    return chosen;
}

/** Takes the next request, after lifting accounts that lag beyond the cap on catching up. */
function takeNext(context: AgentContext, row: ServiceRow, allowLong: boolean, nowMs: number): QueuedWork | undefined {
    const { queue, ledger, cap } = row;
    if (cap.isSampleDue(nowMs)) {
        cap.observeMaxService(ledger.getRange(queue.listAccounts())?.max ?? 0, nowMs);
    }
    const floor = cap.getFloor(nowMs);
    let next = queue.getNext(allowLong);
    while (next !== undefined && floor !== undefined) {
        if (!ledger.applyLift(next.clientAccount, floor, context.nextSequence)) {
            break;
        }
        context.updateQueue(row, next.clientAccount);
        next = queue.getNext(allowLong);
    }
    return queue.take(allowLong);
}

function startOne(context: AgentContext, row: ServiceRow, work: QueuedWork, nowMs: number): void {
    const { request, clientAccount, workClass, hintClass, charge } = work;
    const { tables } = context;
    const weight = context.getWeight(clientAccount);
    context.deadlines.remove(work.id);
    row.ledger.recordActivity(clientAccount, nowMs);
    row.ledger.chargeAccount(clientAccount, charge / weight, context.nextSequence);
    row.cap.observeCost(charge / weight, nowMs);
    context.updateQueue(row, clientAccount);
    context.startCount += 1;
    tables.services.set(row.service, { ...row, lastStartNumber: context.startCount });
    const running: RunningWork = {
        request,
        workClass,
        hintClass,
        weight,
        chargedCost: charge,
        generatedTokens: 0,
        startedAtMs: nowMs,
        firstOutputAtMs: undefined,
        cancelRequested: false,
    };
    tables.addRunning(running);
    context.started.add(work.id, nowMs);
    context.circuit.observeStart(work.id);
    context.pause.recordSend();
    recordPrefix(context, request.prefixHash);
    context.recordRequest("request-started", request, { reason: workClass, value: tables.running.size });
    context.addEffect({ type: "startWork", requestId: work.id });
}

function recordPrefix(context: AgentContext, prefixHash: string | undefined): void {
    if (prefixHash === undefined) {
        return;
    }
    const { cachedPrefixes, options } = context;
    cachedPrefixes.delete(prefixHash);
    cachedPrefixes.set(prefixHash, true);
    if (cachedPrefixes.size > options.maxCachedPrefixes) {
        const oldest = cachedPrefixes.keys().next().value;
        if (oldest !== undefined) {
            cachedPrefixes.delete(oldest);
        }
    }
}
