/** A hybrid logical clock reading (Kulkarni et al., 2014): wall milliseconds, then a counter. */
export interface HybridTime {
    readonly wallMs: number;
    readonly counter: number;
}

/** The kinds of event that processes record; stand-ins record some of the same kinds. */
export type FleetEventKind =
    | "request-accepted"
    | "request-queued"
    | "request-sent"
    | "request-started"
    | "request-withdrawn"
    | "answer-sent"
    | "answer-delivered"
    | "answer-cut"
    | "request-ended"
    | "request-refused"
    | "request-retried"
    | "request-cancelled"
    | "key-replayed"
    | "document-accepted"
    | "document-rejected"
    | "phase-changed"
    | "window-changed"
    | "agent-reported"
    | "agent-lost"
    | "order-sent"
    | "order-refused"
    | "daemon-started"
    | "daemon-stopping"
    | "daemon-stopped"
    | "target-run"
    | "target-cold"
    | "target-warm";

/** One event of the time line. Carries no prompt text, body or secret. */
export interface FleetEvent {
    readonly kind: FleetEventKind;
    readonly time: HybridTime;
    /** Process that recorded it. */
    readonly daemon: string;
    readonly incarnation: number;
    /** Rises by one within (daemon, incarnation), so that a gap shows. */
    readonly sequence: number;
    readonly requestId?: string;
    readonly clientAccount?: string;
    readonly service?: string;
    readonly target?: string;
    readonly dataCentre?: string;
    /** Why, in a word or a short line. */
    readonly reason?: string;
    readonly execution?: "not-run" | "unknown" | "ran";
    /** A figure that belongs to the kind: window, cost, offset, count. */
    readonly value?: number;
    /** SHA-256 of an answer, or a hash of an idempotency key. */
    readonly digest?: string;
}

/** What a caller of {@link EventRecorder.record} fills in. */
export type FleetEventInput = Omit<FleetEvent, "time" | "daemon" | "incarnation" | "sequence">;

/** Takes events; cores and shells get one through their constructor. */
export interface EventRecorder {
    record(event: FleetEventInput): void;
}

/** Drops every event. */
export class NoopEventRecorder implements EventRecorder {
    public record(): void {
        // For benchmarks and tests that look at effects only.
    }
}
