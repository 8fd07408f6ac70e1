import type { ServerResponse } from "node:http";
import type { UnsentBytes, UnsentHolder } from "./unsentBytes.js";

/** What is being written: a request's body to a target, or a response to its caller. */
export interface UnsentBody {
    readonly unsentBytes: number;
}

/** Reports the unsent bytes of one request to the router's budget: of its response, and of its body on the way to a target. */
export class UnsentResponse implements UnsentHolder {
    /** Client account of the request; undefined until it is known, and on public routes. */
    public account: string | undefined;
    private body: UnsentBody | undefined;
    private isScheduled = false;
    private isClosed = false;

    /** To be called when the caller's socket has taken bytes. */
    public handleFlush(): void {
        if (!this.isClosed) {
            this.unsent.updateAfterProgress(this);
        }
    }

    private readonly handleTick = (): void => {
        this.isScheduled = false;
        if (!this.isClosed) {
            this.unsent.updateAfterWrite(this);
        }
    };

    /** `endSlowReader`: closes the caller's connection, also if the end of the response has been written but not been sent. */
    public constructor(
        private readonly unsent: UnsentBytes,
        response: ServerResponse,
        private readonly responseBody: UnsentBody,
        public readonly endSlowReader: () => void,
    ) {
        // Follows "finish"; a response that was ended holds bytes until then.
        response.once("close", () => {
            this.isClosed = true;
            this.unsent.remove(this);
        });
    }

    /**
     * To be called after a write. The bytes are counted when the current operation has ended: Node collects the writes of one operation
     * and only then offers them to the socket, so that before all of them would count as unsent.
     */
    public handleWrite(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            process.nextTick(this.handleTick);
        }
    }

    /** Counts a request body that is being written to a target; undefined when the attempt has ended. */
    public setBody(body: UnsentBody | undefined): void {
        this.body = body;
        this.handleWrite();
    }

    /** The response was ended because of its own bound. */
    public recordOverlong(): void {
        this.unsent.recordEnd(this.account, this.countUnsentBytes(), "stream");
    }

    public countUnsentBytes(): number {
        return this.responseBody.unsentBytes + (this.body?.unsentBytes ?? 0);
    }
}
