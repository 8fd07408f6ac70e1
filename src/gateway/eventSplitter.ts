import { GrowingBuffer } from "../base/growingBuffer.js";

/** One whole event of a stream, byte for byte as the target sent it. */
export interface StreamEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

/**
 * Largest event that is waited for. A target in trouble may send bytes without an empty line for as long as it likes, and all
 * of them would be held.
 */
const mostEventBytes = 262_144;
/** Pieces of one event: each costs far more than its bytes, and a target may send one byte at a time. */
const mostPieces = 2_048;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id: ?(.*)$/m;

/**
 * Cuts an event stream (WHATWG HTML, server-sent events) into whole events.
 *
 * A target may stop in the middle of an event. Passed on as it comes, the fragment would be joined with the event that
 * a resumed stream begins with; so only whole events are handed on. Each byte is looked at once, in whatever pieces it comes.
 */
export class EventSplitter {
    private readonly rest = new GrowingBuffer();
    private pieces = 0;
    private lineBytes = 0;
    private endsWithReturn = false;
    /** Whether the event has a line already: an empty one at its beginning ends no event and stays with it. */
    private hasLine = false;

    /** Whether a fragment of an event is held back. */
    public get hasFragment(): boolean {
        return this.rest.length > 0;
    }

    /** Whether the fragment is longer than any event may be, so that its end is not waited for. */
    public get isOverlong(): boolean {
        return this.rest.length > mostEventBytes || this.pieces > mostPieces;
    }

    /** Takes more of the stream and returns the events that are complete. */
    public add(chunk: Buffer): readonly StreamEvent[] {
        const events: StreamEvent[] = [];
        this.pieces += 1;
        let start = 0;
        let from = 0;
        for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, from)) {
            this.recordLineBytes(chunk, from, end);
            const isEmpty = this.lineBytes === (this.endsWithReturn ? 1 : 0);
            this.lineBytes = 0;
            this.endsWithReturn = false;
            from = end + 1;
            const endsEvent = isEmpty && this.hasLine;
            if (endsEvent) {
                events.push(this.takeEvent(chunk.subarray(start, from)));
                start = from;
            }
            this.hasLine = !endsEvent;
        }
        this.recordLineBytes(chunk, from, chunk.length);
        this.rest.add(chunk.subarray(start));
        return events;
    }

    private recordLineBytes(chunk: Buffer, from: number, to: number): void {
        if (to > from) {
            this.lineBytes += to - from;
            this.endsWithReturn = chunk[to - 1] === carriageReturn;
        }
    }

    private takeEvent(last: Buffer): StreamEvent {
        this.pieces = 0;
        const bytes = this.rest.length === 0 ? last : Buffer.concat([this.rest.take(), last]);
        return { bytes, id: idPattern.exec(bytes.toString("latin1"))?.[1]?.trim() };
    }
}
