import type { FleetEvent } from "../fleetEvent.js";
import { getBaseRequestId } from "../requestId.js";
import { getProcess, type History, type HistoryBreach } from "./history.js";

/** Service given to one account, in cost over weight, and how much of its work waits. */
interface AccountState {
    service: number;
    readonly waiting: Set<string>;
}

/** The service that each account has had at one moment. */
export interface ServiceSample {
    readonly wallMs: number;
    readonly service: string;
    readonly clientAccount: string;
    /** Cost over weight, since the history's beginning. */
    readonly given: number;
    /** Requests taken by a router and started nowhere. */
    readonly waiting: number;
    readonly event: FleetEvent;
}

/**
 * Each account's service over time. A request's whole cost counts at its start, as start-time fair queueing has it; for
 * a request whose end is not in the history, its agent's estimate counts.
 */
export function listServiceSamples(history: History): readonly ServiceSample[] {
    const accounts = new Map<string, AccountState>();
    return history.events.flatMap(event => {
        const { clientAccount, service, requestId } = event;
        if (clientAccount === undefined || service === undefined || requestId === undefined || !kinds.has(event.kind)) {
            return [];
        }
        const key = `${service}\n${clientAccount}`;
        const state = accounts.get(key) ?? { service: 0, waiting: new Set<string>() };
        accounts.set(key, state);
        if (event.kind === "request-accepted") {
            state.waiting.add(getBaseRequestId(requestId));
        } else {
            state.waiting.delete(getBaseRequestId(requestId));
        }
        if (event.kind === "request-started") {
            state.service += getCost(history, event) / (history.bounds.weights[clientAccount] ?? 1);
        }
        const { wallMs } = event.time;
        return [{ wallMs, service, clientAccount, given: state.service, waiting: state.waiting.size, event }];
    });
}

/** While two accounts are both backlogged, neither gains more on the other than the bound. */
export function checkGap(history: History): readonly HistoryBreach[] {
    const latest = new Map<string, ServiceSample>();
    const spreads = new Map<string, { least: number; most: number; from: FleetEvent }>();
    const breaches = new Map<string, HistoryBreach>();
    for (const sample of listServiceSamples(history)) {
        latest.set(`${sample.service}\n${sample.clientAccount}`, sample);
        const others = [...latest.values()].filter(
            other => other.service === sample.service && other.clientAccount !== sample.clientAccount,
        );
        for (const other of others) {
            const [first, second] = sample.clientAccount < other.clientAccount ? [sample, other] : [other, sample];
            const pair = `${sample.service}: ${first.clientAccount} and ${second.clientAccount}`;
            if (first.waiting === 0 || second.waiting === 0) {
                spreads.delete(pair);
                continue;
            }
            const difference = first.given - second.given;
            const spread = spreads.get(pair) ?? { least: difference, most: difference, from: sample.event };
            const least = Math.min(spread.least, difference);
            const most = Math.max(spread.most, difference);
            spreads.set(pair, { ...spread, least, most });
            if (most - least > history.bounds.gap && !breaches.has(pair)) {
                const detail = `${pair} came ${Math.round(most - least)} apart while both were backlogged`;
                breaches.set(pair, { rule: "bounded-gap", detail, events: [spread.from, sample.event] });
            }
        }
    }
    return [...breaches.values()];
}

const kinds: ReadonlySet<string> = new Set([
    "request-accepted",
    "request-started",
    "request-refused",
    "request-cancelled",
    "answer-delivered",
]);

function getCost(history: History, started: FleetEvent): number {
    const own = history
        .getRequest(started.requestId)
        .filter(event => getProcess(event) === getProcess(started) && event.requestId === started.requestId);
    const known =
        own.find(event => event.kind === "request-ended") ?? own.find(event => event.kind === "request-queued");
    return known?.value ?? 0;
}
