import { GrowingBuffer } from "../base/growingBuffer.js";

/** One complete event of a stream, byte for byte as the target sent it. */
export interface StreamEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

/** Maximum size of an event. A faulty target may send bytes without ever ending an event, and all of them would be buffered. */
const maxEventBytes = 262_144;
/** Maximum number of chunks of one event. A chunk costs far more than its bytes, and a target may send one byte at a time. */
const maxEventChunks = 2_048;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id: ?(.*)$/m;

/**
 * Splits an event stream (WHATWG HTML, server-sent events) into complete events.
 *
 * A target may stop in the middle of an event. If the fragment were relayed, it would be joined with the first event of the
 * resumed stream, so only complete events are returned. Each byte is scanned once, whatever the size of the chunks.
 */
export class EventSplitter {
    private readonly fragment = new GrowingBuffer();
    private chunkCount = 0;
    private lineBytes = 0;
    private endsWithCarriageReturn = false;
    /** Whether the current event has a line; an empty line before the first one does not end the event and is part of it. */
    private hasLine = false;

    /** Whether an incomplete event is buffered. */
    public get hasFragment(): boolean {
        return this.fragment.length > 0;
    }

    /** Whether the incomplete event exceeds the maximum size of an event. */
    public get isOverlong(): boolean {
        return this.fragment.length > maxEventBytes || this.chunkCount > maxEventChunks;
    }

    /** Adds a chunk of the stream and returns the events that it completes. */
    public add(chunk: Buffer): readonly StreamEvent[] {
        const events: StreamEvent[] = [];
        this.chunkCount += 1;
        let start = 0;
        let from = 0;
        for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, from)) {
            this.recordLineBytes(chunk, from, end);
            const isEmpty = this.lineBytes === (this.endsWithCarriageReturn ? 1 : 0);
            this.lineBytes = 0;
            this.endsWithCarriageReturn = false;
            from = end + 1;
            const endsEvent = isEmpty && this.hasLine;
            if (endsEvent) {
                events.push(this.takeEvent(chunk.subarray(start, from)));
                start = from;
            }
            this.hasLine = !endsEvent;
        }
        this.recordLineBytes(chunk, from, chunk.length);
        this.fragment.add(chunk.subarray(start));
        return events;
    }

    private recordLineBytes(chunk: Buffer, from: number, to: number): void {
        if (to > from) {
            this.lineBytes += to - from;
            this.endsWithCarriageReturn = chunk[to - 1] === carriageReturn;
        }
    }

    private takeEvent(last: Buffer): StreamEvent {
        this.chunkCount = 0;
        const bytes = this.fragment.length === 0 ? last : Buffer.concat([this.fragment.take(), last]);
        return { bytes, id: idPattern.exec(bytes.toString("latin1"))?.[1]?.trim() };
    }
}
