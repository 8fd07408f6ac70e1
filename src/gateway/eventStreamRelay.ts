import type { CallerExchange } from "./callerExchange.js";
import { EventSplitter, type StreamEvent } from "./eventSplitter.js";
import type { ResponseRelay, RelayedOutput, TargetResponseHead } from "./responseRelay.js";
import type { HeaderCodec } from "./wire.js";

/** An event usually holds at least one token; the factor allows for events without tokens, such as keep-alive comments. */
const eventsPerToken = 2;
/** Lower bound of the event limit. */
const minEventLimit = 1_000;
/** Event limit for a request without a limit on output tokens. */
const defaultEventLimit = 262_144;

/** Maximum number of events of a stream: a faulty target may send well-formed events without end. */
function computeEventLimit(maxOutputTokens: number): number {
    return maxOutputTokens > 0 ? Math.max(minEventLimit, eventsPerToken * maxOutputTokens) : defaultEventLimit;
}

/** Relays a stream event by event. After a disconnect it appends the stream of a resumed attempt. */
export class EventStreamRelay implements ResponseRelay {
    private splitter = new EventSplitter();
    private head: TargetResponseHead | undefined;
    private lastRelayedId: string | undefined;
    private relayedCount = 0;

    private readonly maxEvents: number;

    /** `resumeAfterId`: id of the event after which the caller itself asked to resume. `maxOutputTokens`: 0 if unknown. */
    public constructor(
        private readonly caller: CallerExchange,
        private readonly codec: HeaderCodec,
        private readonly isResumable: boolean,
        resumeAfterId: string | undefined,
        maxOutputTokens: number,
    ) {
        this.maxEvents = computeEventLimit(maxOutputTokens);
        this.lastRelayedId = resumeAfterId;
    }

    public get isCommitted(): boolean {
        return this.caller.hasSentHead;
    }

    public get canResume(): boolean {
        // Without the id of the last relayed event a resumed stream would repeat or skip events.
        return this.isResumable && (!this.isCommitted || this.lastRelayedId !== undefined);
    }

    public get relayedEvents(): number {
        return this.relayedCount;
    }

    public get lastEventId(): string | undefined {
        return this.lastRelayedId;
    }

    public handleHead(head: TargetResponseHead): boolean {
        // A resumed stream keeps head and signature of the first attempt, which the caller has already received.
        this.head ??= head;
        this.splitter = new EventSplitter();
        return true;
    }

    public handleData(chunk: Buffer): RelayedOutput {
        const wasCommitted = this.isCommitted;
        let hasOutput = false;
        for (const event of this.splitter.add(chunk)) {
            hasOutput = this.writeEvent(event) || hasOutput;
        }
        if (this.splitter.isOverlong || this.relayedCount > this.maxEvents) {
            return "overlong";
        }
        if (!hasOutput) {
            return "none";
        }
        return wasCommitted ? "more" : "first";
    }

    public handleEnd(): boolean {
        if (this.splitter.hasFragment) {
            return false;
        }
        this.writeHead();
        this.caller.end();
        return true;
    }

    public handleDisconnect(): void {
        this.splitter = new EventSplitter();
        if (!this.isCommitted) {
            this.head = undefined;
        }
    }

    /** Relays an event; false if the caller has already received it. */
    private writeEvent(event: StreamEvent): boolean {
        if (event.id !== undefined && isAtOrBefore(event.id, this.lastRelayedId)) {
            return false;
        }
        this.writeHead();
        this.caller.write(event.bytes);
        this.lastRelayedId = event.id ?? this.lastRelayedId;
        this.relayedCount += 1;
        return true;
    }

    private writeHead(): void {
        if (!this.isCommitted && this.head !== undefined) {
            // The length is that of the first attempt's response; a stream that is resumed may be longer or shorter.
            const headers = this.codec.encodeForCaller(this.head.headers);
            delete headers["content-length"];
            this.caller.writeHead(this.head.status, headers);
        }
    }
}

/** Whether an event has been relayed already; ids are increasing numbers. */
function isAtOrBefore(id: string, relayedId: string | undefined): boolean {
    return relayedId !== undefined && Number(id) <= Number(relayedId);
}
