import type { CallerExchange } from "./callerExchange.js";
import { EventSplitter, type StreamEvent } from "./eventSplitter.js";
import type { ResponseRelay, RelayedOutput, TargetResponseHead } from "./responseRelay.js";
import type { HeaderCodec } from "./wire.js";

/** An event holds a token or more; the rest is for events without any, such as comments that keep a connection open. */
const eventsPerToken = 2;
const leastMostEvents = 1_000;
/** Where the request does not say how much it may generate. */
const mostEventsOfUnknown = 262_144;

/** Events that a stream may have: a target in trouble may send events without end, each of them well formed. */
function computeMostEvents(maxOutputTokens: number): number {
    return maxOutputTokens > 0 ? Math.max(leastMostEvents, eventsPerToken * maxOutputTokens) : mostEventsOfUnknown;
}

/** Passes a stream on event by event, and joins it with a resumed run where one breaks off. */
export class EventStreamRelay implements ResponseRelay {
    private splitter = new EventSplitter();
    private head: TargetResponseHead | undefined;
    private passedId: string | undefined;
    private passed = 0;

    private readonly mostEvents: number;

    /** `askedFrom`: where the caller itself wants the stream to go on. `maxOutputTokens`: 0 when unknown. */
    public constructor(
        private readonly caller: CallerExchange,
        private readonly codec: HeaderCodec,
        private readonly isResumable: boolean,
        askedFrom: string | undefined,
        maxOutputTokens: number,
    ) {
        this.mostEvents = computeMostEvents(maxOutputTokens);
        this.passedId = askedFrom;
    }

    public get isCommitted(): boolean {
        return this.caller.hasSentHead;
    }

    public get canResume(): boolean {
        // Without the id of the last event a resumed run would repeat or leave out some.
        return this.isResumable && (!this.isCommitted || this.passedId !== undefined);
    }

    public get relayedEvents(): number {
        return this.passed;
    }

    public get lastEventId(): string | undefined {
        return this.passedId;
    }

    public handleHead(head: TargetResponseHead): boolean {
        // A resumed run keeps the head and signature of the first one, which the caller has already got.
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
        if (this.splitter.isOverlong || this.passed > this.mostEvents) {
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

    /** False for an event that the caller has already. */
    private writeEvent(event: StreamEvent): boolean {
        if (event.id !== undefined && isAtOrBefore(event.id, this.passedId)) {
            return false;
        }
        this.writeHead();
        this.caller.write(event.bytes);
        this.passedId = event.id ?? this.passedId;
        this.passed += 1;
        return true;
    }

    private writeHead(): void {
        if (!this.isCommitted && this.head !== undefined) {
            // A length would be that of the first run alone; a stream that is put together may be longer or shorter.
            const headers = this.codec.encodeForCaller(this.head.headers);
            delete headers["content-length"];
            this.caller.writeHead(this.head.status, headers);
        }
    }
}

/** Whether an event has been passed on already; ids are numbers that rise. */
function isAtOrBefore(id: string, passed: string | undefined): boolean {
    return passed !== undefined && Number(id) <= Number(passed);
}
