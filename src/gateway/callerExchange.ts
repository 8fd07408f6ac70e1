import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";

/** Why a request's body could not be taken. */
export type BodyReadError = "too-large" | "no-room" | "left";

/** What a body may take. */
export interface BodyLimits {
    readonly maxBytes: number;
    /** Whether so many bytes more find room in the process; asked for each piece as it comes. */
    hasCapacity(bytes: number): boolean;
}

/** A caller that reads so slowly that this much waits for it is cut off, or a few such callers fill the memory. */
const mostUnsentBytes = 1_048_576;

/**
 * Turns of the event loop after a request's end within which Node reads the end of its connection: one for the rest of this turn, one for
 * the poll that reads it, one for the event that reports it.
 */
const turnsUntilClose = 3;

/** A caller's request and its answer on one connection. */
export class CallerExchange implements Disposable {
    private readonly cancellation = new CancellationTokenSource();
    private ended = false;
    private left = false;
    private readonly handleLeft = (): void => {
        if (!this.ended) {
            this.left = true;
            this.ended = true;
            this.cancellation.cancel();
        }
    };

    public constructor(
        public readonly request: IncomingMessage,
        private readonly response: ServerResponse,
        /** The router that the caller reached and that handed its connection over; undefined: this one. */
        public readonly handedOverBy?: string,
    ) {
        response.once("close", this.handleLeft);
        // Comes before the response's "close", and Node ends the connection on it all the same.
        request.socket.once("end", this.handleLeft);
        // A write that crosses the caller's close fails; "close" reports that the caller left.
        response.on("error", () => undefined);
        request.on("error", this.handleLeft);
    }

    /** Cancelled when the caller closes the connection before the answer's end. */
    public get token(): CancellationToken {
        return this.cancellation.token;
    }

    public get isDisconnected(): boolean {
        return this.left;
    }

    public get hasSentHead(): boolean {
        return this.response.headersSent;
    }

    /** Reads the whole body. Errors: larger than allowed, no room, or the caller left. */
    public readBody(bounds: BodyLimits): Promise<Result<Buffer | undefined, BodyReadError>> {
        const { request } = this;
        return new Promise(resolve => {
            const chunks: Buffer[] = [];
            let size = 0;
            request.on("data", (chunk: Buffer) => {
                size += chunk.length;
                const fault =
                    size > bounds.maxBytes ? "too-large" : bounds.hasCapacity(chunk.length) ? undefined : "no-room";
                if (fault !== undefined) {
                    request.pause();
                    request.removeAllListeners("data");
                    resolve(err(fault));
                    return;
                }
                chunks.push(chunk);
            });
            request.once("end", () => resolve(ok(size === 0 ? undefined : Buffer.concat(chunks, size))));
            request.once("close", () => resolve(err("left")));
        });
    }

    /**
     * Waits until a close that came with the request has been read. When a request lay unread until its caller gave up,
     * its bytes and the connection's end arrive together, but Node reads the end some turns of the event loop later; without
     * the wait each such request is sent to a target, for nobody. A turn takes microseconds in a router that keeps up.
     */
    public async waitForPendingClose(): Promise<void> {
        for (let turn = 0; turn < turnsUntilClose && !this.left; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Sends a whole answer. */
    public answer(status: number, headers: Readonly<Record<string, string | string[]>>, body: Buffer | string): void {
        if (this.ended || this.response.headersSent) {
            return;
        }
        this.ended = true;
        const length = typeof body === "string" ? Buffer.byteLength(body) : body.length;
        this.response.writeHead(status, { ...headers, "content-length": String(length) });
        if (typeof body === "string") {
            // Writes head and body as one string; `end(body)` would send them as separate chunks.
            this.response.write(body);
            this.response.socket?.uncork();
            this.response.end();
        } else {
            this.response.end(body);
        }
    }

    /** Begins an answer whose body follows. */
    public writeHead(status: number, headers: Readonly<Record<string, string | string[]>>): void {
        if (!this.ended && !this.response.headersSent) {
            this.response.writeHead(status, { ...headers });
        }
    }

    public write(data: Buffer): void {
        if (this.ended) {
            return;
        }
        this.response.write(data);
        if (this.response.writableLength > mostUnsentBytes) {
            this.cancel();
        }
    }

    public end(): void {
        if (!this.ended) {
            this.ended = true;
            this.response.end();
        }
    }

    /**
     * Breaks the connection in the middle of an answer: without the encoding's last chunk, or with fewer bytes than the
     * announced length, every HTTP client sees that the answer is not whole.
     */
    public cancel(): void {
        if (!this.ended) {
            this.ended = true;
            this.response.destroy();
            this.cancellation.cancel();
        }
    }

    public dispose(): void {
        this.request.socket.off("end", this.handleLeft);
        this.cancellation.dispose();
    }
}
