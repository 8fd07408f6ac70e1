import type { FleetEvent, FleetEventKind } from "./fleetEvent.js";
import type { Timeline } from "./mergeTimeline.js";
import { getBaseRequestId } from "./requestId.js";
import { formatGap, formatTime } from "./renderText.js";

/** One step of a request's way. */
export interface RequestStep {
    readonly event: FleetEvent;
    /** Milliseconds since the request was taken. */
    readonly afterMs: number;
    /** What happened and why, as a sentence. */
    readonly text: string;
}

/** One request's way through the fleet. */
export interface RequestExplanation {
    readonly requestId: string;
    readonly steps: readonly RequestStep[];
    /** What the steps do not show, if anything. */
    readonly notes: readonly string[];
}

/** Tells one request's way, in causal order; undefined when no event names the request. */
export function explainRequest(timeline: Timeline, requestId: string): RequestExplanation | undefined {
    const own = timeline.events.filter(
        event => event.requestId !== undefined && getBaseRequestId(event.requestId) === getBaseRequestId(requestId),
    );
    if (own.length === 0) {
        return undefined;
    }
    const startMs = own[0].time.wallMs;
    const steps = own.map(event => ({ event, afterMs: event.time.wallMs - startMs, text: describeStep(event) }));
    return { requestId, steps, notes: listNotes(timeline, own) };
}

/** An explanation as lines of text. */
export function renderExplanation(explanation: RequestExplanation): readonly string[] {
    const { requestId, steps, notes } = explanation;
    const width = Math.max(...steps.map(step => step.event.daemon.length));
    const [{ event: first }] = steps;
    return [
        `${requestId}: account ${first.clientAccount ?? "?"}, service ${first.service ?? "?"}, from ${formatTime(first)}`,
        ...steps.map(step => `${`+${step.afterMs} ms`.padStart(12)}  ${step.event.daemon.padEnd(width)}  ${step.text}`),
        ...notes.map(note => `note: ${note}`),
    ];
}

const sentences: Readonly<Partial<Record<FleetEventKind, (event: FleetEvent) => string>>> = {
    "request-accepted": () => "took the request from its caller: within the limits, and expected to start in time",
    "request-queued": event =>
        event.value === undefined
            ? "put it into the account's backlog until an agent has room"
            : `queued it for ${event.target ?? "the target"} as ${event.reason ?? "?"} work, estimated cost ${format(event.value)}`,
    "request-sent": event => `offered it to the agent of ${event.target ?? "?"} (attempt ${format(event.value)})`,
    "request-started": event =>
        `started it at ${event.target ?? "the target"}: its account had had the least service for its weight; ${format(event.value)} running there`,
    "request-withdrawn": event => `gave it back, never started here${formatReason(event)}`,
    "request-retried": event => `will try again after failure ${format(event.value)}${formatReason(event)}`,
    "request-refused": event => `turned it away${formatReason(event)}; execution ${event.execution ?? "?"}`,
    "request-cancelled": () => "cancelled it: the caller left",
    "request-ended": event => `ended with ${event.reason ?? "?"}, cost ${format(event.value)}`,
    "answer-sent": event => `sent the whole answer, ${format(event.value)} chunks`,
    "answer-delivered": event => `gave the caller the whole answer, ${format(event.value)} chunks`,
    "key-replayed": () => "gave the kept answer: the idempotency key has run before",
    "target-run": event => `${event.target ?? "the target"} began to run it`,
};

function describeStep(event: FleetEvent): string {
    return sentences[event.kind]?.(event) ?? `${event.kind}${formatReason(event)}`;
}

function listNotes(timeline: Timeline, own: readonly FleetEvent[]): readonly string[] {
    const daemons = new Set(own.map(event => event.daemon));
    const gaps = timeline.gaps.filter(gap => daemons.has(gap.daemon)).map(formatGap);
    const isEnded = own.some(event => endKinds.has(event.kind));
    return [...gaps, ...(isEnded ? [] : ["no event ends it: it is still open, or the process that held it is gone"])];
}

const endKinds: ReadonlySet<string> = new Set(["answer-delivered", "request-refused", "request-cancelled"]);

function formatReason(event: FleetEvent): string {
    return event.reason === undefined ? "" : ` (${event.reason})`;
}

function format(value: number | undefined): string {
    return value === undefined ? "?" : String(Math.round(value * 100) / 100);
}
