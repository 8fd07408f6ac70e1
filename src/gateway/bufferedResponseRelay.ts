import { GrowingBuffer } from "../base/growingBuffer.js";
import type { CallerExchange } from "./callerExchange.js";
import type { ResponseRelay, RelayedOutput, TargetResponseHead } from "./responseRelay.js";
import type { HeaderCodec } from "./wire.js";

/**
 * A response up to this size is relayed once it is complete, so that after a disconnect the request can still be repeated or fail with
 * an error response. A larger one is relayed as it arrives, as a few of them would exhaust the memory.
 */
const maxBufferedBytes = 65_536;

/** Relays a response that is not a stream. */
export class BufferedResponseRelay implements ResponseRelay {
    private readonly held = new GrowingBuffer();
    private head: TargetResponseHead | undefined;

    public readonly canResume = false;
    public readonly relayedEvents = 0;

    public constructor(
        private readonly caller: CallerExchange,
        private readonly codec: HeaderCodec,
        /** Id of the event after which the caller itself asked to resume. */
        public readonly lastEventId: string | undefined,
    ) {}

    public get isCommitted(): boolean {
        return this.caller.hasSentHead;
    }

    public handleHead(head: TargetResponseHead): boolean {
        this.head = head;
        return true;
    }

    public handleData(chunk: Buffer): RelayedOutput {
        const isFirst = this.held.length === 0 && !this.isCommitted;
        if (this.isCommitted) {
            this.caller.write(chunk);
            return "more";
        }
        this.held.add(chunk);
        if (this.held.length > maxBufferedBytes && this.head !== undefined) {
            this.caller.writeHead(this.head.status, this.codec.encodeForCaller(this.head.headers));
            this.caller.write(this.held.take());
        }
        return isFirst ? "first" : "more";
    }

    public handleEnd(): boolean {
        if (this.isCommitted) {
            this.caller.end();
        } else if (this.head !== undefined) {
            const headers = this.codec.encodeForCaller(this.head.headers);
            this.caller.answer(this.head.status, headers, this.held.take());
        }
        return true;
    }

    public handleDisconnect(): void {
        this.held.take();
        this.head = undefined;
    }
}
