import { GrowingBuffer } from "../base/growingBuffer.js";
import type { CallerExchange } from "./callerExchange.js";
import type { ResponseRelay, RelayedOutput, TargetResponseHead } from "./responseRelay.js";
import type { HeaderCodec } from "./wire.js";

/**
 * An answer up to this size is passed on once it is whole, so that one that breaks off can still be repeated or reported as a
 * failure; a larger one goes out as it comes, or a few of them would fill the memory.
 */
const mostHeldBytes = 65_536;

/** Passes on an answer that is no stream. */
export class BufferedResponseRelay implements ResponseRelay {
    private readonly held = new GrowingBuffer();
    private head: TargetResponseHead | undefined;

    public readonly canResume = false;
    public readonly relayedEvents = 0;

    public constructor(
        private readonly caller: CallerExchange,
        private readonly codec: HeaderCodec,
        /** A resumption that the caller itself asked for. */
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
        if (this.held.length > mostHeldBytes && this.head !== undefined) {
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
