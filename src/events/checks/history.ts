import type { FleetEvent } from "../fleetEvent.js";
import type { Timeline } from "../mergeTimeline.js";
import { getBaseRequestId } from "../requestId.js";

/** What must always hold; one name for each rule. */
export type RuleName =
    | "at-most-once"
    | "not-run-is-true"
    | "whole-answers"
    | "no-start-after-closure"
    | "cold-limit"
    | "bounded-gap"
    | "no-starvation"
    | "document-offset"
    | "planned-stop";

/** A promise that did not hold, with the events that show it. */
export interface HistoryBreach {
    readonly rule: RuleName;
    readonly detail: string;
    readonly events: readonly FleetEvent[];
}

/** A time during which a daemon could reach neither the log nor a peer. */
export interface Isolation {
    readonly daemon: string;
    readonly fromMs: number;
    readonly toMs: number;
}

/** The bounds that the promises name, and what the events do not say. Durations in milliseconds. */
export interface HistoryBounds {
    /** From an agent's change of phase until nothing starts at its target. */
    readonly closureMs: number;
    /** From a target's turning cold until its agent must have noticed. */
    readonly coldNoticeMs: number;
    /** From one daemon's accepting a document until all have it. */
    readonly documentMs: number;
    /** From a request's acceptance until it must have started or ended. */
    readonly waitMs: number;
    /** Greatest gap in service over weight between two backlogged accounts. */
    readonly gap: number;
    /** Weights of client accounts; 1 when left out. */
    readonly weights: Readonly<Record<string, number>>;
    readonly isolations: readonly Isolation[];
}

/** A merged history, indexed for the checks. */
export class History {
    public readonly events: readonly FleetEvent[];
    private readonly requests = new Map<string, FleetEvent[]>();
    private readonly processes = new Map<string, FleetEvent[]>();

    public constructor(
        timeline: Timeline,
        public readonly bounds: HistoryBounds,
    ) {
        this.events = timeline.events;
        for (const event of timeline.events) {
            addTo(this.processes, getProcess(event), event);
            if (event.requestId !== undefined) {
                addTo(this.requests, getBaseRequestId(event.requestId), event);
            }
        }
    }

    /** Events by request, those of all its attempts together. */
    public listRequests(): ReadonlyMap<string, readonly FleetEvent[]> {
        return this.requests;
    }

    /** Events by process; a restarted daemon is another process. */
    public listProcesses(): ReadonlyMap<string, readonly FleetEvent[]> {
        return this.processes;
    }

    /** All events of one kind, in order. */
    public listKind(kind: FleetEvent["kind"]): readonly FleetEvent[] {
        return this.events.filter(event => event.kind === kind);
    }

    /** Events of one request, or of the request that an attempt belongs to. */
    public getRequest(requestId: string | undefined): readonly FleetEvent[] {
        return requestId === undefined ? [] : (this.requests.get(getBaseRequestId(requestId)) ?? []);
    }

    /** Events of the process that recorded the event. */
    public getProcessOf(event: FleetEvent): readonly FleetEvent[] {
        return this.processes.get(getProcess(event)) ?? [];
    }

    /** Whether the process recorded anything at or after the time: it was alive and its events are here. */
    public isSeenAfter(event: FleetEvent, wallMs: number): boolean {
        return (this.getProcessOf(event).at(-1)?.time.wallMs ?? -Infinity) >= wallMs;
    }

    /** The process that took the request from its caller. */
    public findRouterEvent(requestId: string | undefined): FleetEvent | undefined {
        return this.getRequest(requestId).find(event => event.kind === "request-accepted");
    }
}

/** Names the process that recorded an event. */
export function getProcess(event: FleetEvent): string {
    return `${event.daemon} ${event.incarnation}`;
}

/** Puts the event into the list under the key. */
export function addTo(lists: Map<string, FleetEvent[]>, key: string, event: FleetEvent): void {
    const list = lists.get(key);
    if (list === undefined) {
        lists.set(key, [event]);
    } else {
        list.push(event);
    }
}
