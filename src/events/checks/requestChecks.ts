import type { FleetEvent } from "../fleetEvent.js";
import { addTo, getProcess, type History, type HistoryBreach } from "./history.js";

/** A key is used by one account, so runs of two accounts under one text are two keys. */
export function checkAtMostOnce(history: History): readonly HistoryBreach[] {
    const runs = new Map<string, FleetEvent[]>();
    for (const run of history.listKind("target-run").filter(event => event.digest !== undefined)) {
        addTo(runs, getKey(history, run), run);
    }
    return [...runs.values()]
        .filter(events => events.length > 1)
        .map(events => ({
            rule: "at-most-once",
            detail: `the key with digest ${events[0].digest} ran ${events.length} times`,
            events,
        }));
}

/**
 * Whoever was told "not run" at the end never runs; and an agent never hands back what it has started. Another agent may
 * refuse or hand back a request that runs elsewhere later.
 */
export function checkNotRun(history: History): readonly HistoryBreach[] {
    const breaches: HistoryBreach[] = [];
    for (const [requestId, events] of history.listRequests()) {
        const accepted = history.findRouterEvent(requestId);
        const refused = events.find(
            event =>
                event.kind === "request-refused" &&
                event.execution === "not-run" &&
                accepted !== undefined &&
                getProcess(event) === getProcess(accepted),
        );
        const runs = events.filter(event => event.kind === "target-run");
        if (refused !== undefined && runs.length > 0) {
            const detail = `${requestId} was refused as not run, and ran`;
            breaches.push({ rule: "not-run-is-true", detail, events: [refused, ...runs] });
        }
        breaches.push(...findStartedHandedBack(requestId, events));
    }
    return breaches;
}

/** What the router delivered is what an agent sent, whole, and the answer to this request. */
export function checkAnswers(history: History): readonly HistoryBreach[] {
    const sentDigests = new Set(
        history.listKind("answer-sent").map(event => `${event.clientAccount} ${event.service} ${event.digest}`),
    );
    const breaches: HistoryBreach[] = [];
    for (const [requestId, events] of history.listRequests()) {
        const delivered = events.filter(event => event.kind === "answer-delivered");
        const sent = events.filter(event => event.kind === "answer-sent");
        if (delivered.length > 1) {
            breaches.push(createAnswerBreach(`${requestId} was answered ${delivered.length} times`, delivered));
        }
        for (const event of delivered) {
            const isOwn = sent.some(other => other.digest === event.digest && other.value === event.value);
            // A repeat of a key gets the answer of another request of the same account.
            const isReplayed =
                sent.length === 0 && sentDigests.has(`${event.clientAccount} ${event.service} ${event.digest}`);
            const isKnown = sent.length > 0 || events.some(other => other.kind === "key-replayed");
            if (isKnown && !isOwn && !isReplayed) {
                breaches.push(
                    createAnswerBreach(`${requestId} got an answer that no agent sent for it`, [...sent, event]),
                );
            }
        }
    }
    return breaches;
}

/** Every request that a living router took has started somewhere, or ended, within its bound. */
export function checkStarvation(history: History): readonly HistoryBreach[] {
    const { waitMs } = history.bounds;
    const breaches: HistoryBreach[] = [];
    for (const accepted of history.listKind("request-accepted")) {
        const untilMs = accepted.time.wallMs + waitMs;
        const isServed = history
            .getRequest(accepted.requestId)
            .some(event => servedKinds.has(event.kind) && event.time.wallMs <= untilMs);
        if (!isServed && history.isSeenAfter(accepted, untilMs)) {
            const detail = `${accepted.requestId} of ${accepted.clientAccount} had neither started nor ended after ${waitMs} ms`;
            breaches.push({ rule: "no-starvation", detail, events: history.getRequest(accepted.requestId) });
        }
    }
    return breaches;
}

/** When a daemon says that it has stopped as planned, all that it had taken or started has ended, and not by the stop. */
export function checkPlannedStop(history: History): readonly HistoryBreach[] {
    return history.listKind("daemon-stopped").flatMap(stopped => {
        const own = history.getProcessOf(stopped);
        const open = own.filter(event => isOpenAtStop(history, event, own));
        const cut = own.filter(
            event => event.kind === "request-refused" && event.reason === "stopping" && event.execution !== "not-run",
        );
        return [...open, ...cut].map(event => ({
            rule: "planned-stop" as const,
            detail: `${event.daemon} stopped and cut off ${event.requestId}`,
            events: [event, stopped],
        }));
    });
}

const servedKinds: ReadonlySet<string> = new Set([
    "request-started",
    "request-refused",
    "request-cancelled",
    "answer-delivered",
    "key-replayed",
]);
const routerEndKinds: ReadonlySet<string> = new Set(["answer-delivered", "request-refused", "request-cancelled"]);

function getKey(history: History, run: FleetEvent): string {
    const account = history.getRequest(run.requestId).find(event => event.clientAccount !== undefined)?.clientAccount;
    return `${account ?? ""} ${run.digest}`;
}

function findStartedHandedBack(requestId: string, events: readonly FleetEvent[]): readonly HistoryBreach[] {
    const started = new Map<string, FleetEvent>();
    const breaches: HistoryBreach[] = [];
    for (const event of events) {
        const process = getProcess(event);
        const start = started.get(process);
        if (event.kind === "request-started") {
            started.set(process, event);
        } else if (event.kind === "request-queued") {
            // Offered to the same agent once more, after the first run had failed without having been taken.
            started.delete(process);
        } else if (event.kind === "request-withdrawn" && event.execution === "not-run" && start !== undefined) {
            const detail = `${event.daemon} handed ${requestId} back as never started, and had started it`;
            breaches.push({ rule: "not-run-is-true", detail, events: [start, event] });
        }
    }
    return breaches;
}

function createAnswerBreach(detail: string, events: readonly FleetEvent[]): HistoryBreach {
    return { rule: "whole-answers", detail, events };
}

function isOpenAtStop(history: History, event: FleetEvent, own: readonly FleetEvent[]): boolean {
    const ends = event.kind === "request-accepted" ? routerEndKinds : agentEndKinds;
    if (event.kind !== "request-accepted" && event.kind !== "request-started") {
        return false;
    }
    const ownName = getProcess(own[0]);
    return !history
        .getRequest(event.requestId)
        .some(other => getProcess(other) === ownName && other.requestId === event.requestId && ends.has(other.kind));
}

const agentEndKinds: ReadonlySet<string> = new Set(["request-ended", "request-cancelled"]);
