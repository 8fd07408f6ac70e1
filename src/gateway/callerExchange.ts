import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import { BlockBuffer } from "../base/blockBuffer.js";
import type { Disposable } from "../base/lifecycle.js";
import { ResponseWriter } from "./responseWriter.js";
import type { UnsentBytes } from "./unsentBytes.js";
import { UnsentResponse, type UnsentBody } from "./unsentResponse.js";

/** Why the body of a request could not be read. */
export type BodyReadError = "too-large" | "no-room" | "left";

/** Limits for reading a request body. */
export interface BodyLimits {
    readonly maxBytes: number;
    /** Whether the process has memory for this many further bytes; called for each chunk as it arrives. */
    hasCapacity(bytes: number): boolean;
}

/** Unsent bytes of a response from which on its connection is closed: a few slow readers would exhaust the memory otherwise. */
const maxUnsentBytes = 1_048_576;

/**
 * Event loop iterations after the end of a request within which Node reports that its connection was closed: one for the rest of the
 * current iteration, one for the poll that reads the close, and one for the event that reports it.
 */
const maxIterationsUntilClose = 3;

/** A caller's request and its response on one connection. */
export class CallerExchange implements Disposable {
    private readonly cancellation = new CancellationTokenSource();
    private ended = false;
    private left = false;
    private readonly writer: ResponseWriter;
    private readonly unsent: UnsentResponse | undefined;
    private readonly handleDisconnect = (): void => {
        if (!this.ended) {
            this.left = true;
            this.ended = true;
            this.cancellation.cancel();
        }
    };

    public constructor(
        public readonly request: IncomingMessage,
        private readonly response: ServerResponse,
        /** Router that accepted the connection and handed it over to this one; undefined if this router accepted the connection. */
        public readonly handedOverBy?: string,
        /** Bounds the unsent bytes of all responses together. */
        unsentBytes?: UnsentBytes,
    ) {
        this.writer = new ResponseWriter(response, () => this.unsent?.handleFlush());
        this.unsent = unsentBytes && new UnsentResponse(unsentBytes, response, this.writer, () => this.endSlowReader());
        response.once("close", this.handleDisconnect);
        // Fires before the response's "close". Node closes the connection in this case anyway.
        request.socket.once("end", this.handleDisconnect);
        // A write fails if the caller has just closed the connection; "close" reports the disconnect.
        response.on("error", () => undefined);
        request.on("error", this.handleDisconnect);
    }

    /** Cancelled when the caller closes the connection before the end of the response. */
    public get token(): CancellationToken {
        return this.cancellation.token;
    }

    public get isDisconnected(): boolean {
        return this.left;
    }

    /** Why {@link token} was cancelled. */
    public get endReason(): string {
        return this.left ? "the caller disconnected" : "the reader was too slow";
    }

    public get hasSentHead(): boolean {
        return this.response.headersSent;
    }

    /** Reads the complete body. Errors: larger than the limit, no memory for it, or the caller disconnected. */
    public readBody(bounds: BodyLimits): Promise<Result<Buffer | undefined, BodyReadError>> {
        const { request } = this;
        return new Promise(resolve => {
            const body = new BlockBuffer();
            request.on("data", (chunk: Buffer) => {
                const fault =
                    body.length + chunk.length > bounds.maxBytes
                        ? "too-large"
                        : bounds.hasCapacity(chunk.length)
                          ? undefined
                          : "no-room";
                if (fault !== undefined) {
                    request.pause();
                    request.removeAllListeners("data");
                    resolve(err(fault));
                    return;
                }
                body.add(chunk);
            });
            request.once("end", () => resolve(ok(body.length === 0 ? undefined : body.take())));
            request.once("close", () => resolve(err("left")));
        });
    }

    /**
     * Waits until a close that arrived together with the request has been read. When a request is read only after its caller
     * has timed out, its bytes and the close of the connection arrive together, but Node reads the close some iterations of the
     * event loop later. Without the wait each such request would be sent to a target although its caller has disconnected.
     * An iteration takes microseconds in a router that is not overloaded.
     */
    public async waitForPendingClose(): Promise<void> {
        for (let iteration = 0; iteration < maxIterationsUntilClose && !this.left; iteration++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Sends a complete response. */
    public answer(status: number, headers: Readonly<Record<string, string | string[]>>, body: Buffer | string): void {
        if (this.ended || this.response.headersSent) {
            return;
        }
        const length = typeof body === "string" ? Buffer.byteLength(body) : body.length;
        this.response.writeHead(status, { ...headers, "content-length": String(length) });
        this.ended = true;
        if (typeof body === "string") {
            // `write` sends head and body as one string; `end(body)` would send them as separate chunks.
            this.response.write(body);
            this.response.socket?.uncork();
            this.response.end();
        } else {
            this.response.end(body);
        }
        this.unsent?.handleWrite();
    }

    /** Sends the head of a response; its body follows. */
    public writeHead(status: number, headers: Readonly<Record<string, string | string[]>>): void {
        if (!this.ended && !this.response.headersSent) {
            this.response.writeHead(status, { ...headers });
        }
    }

    public write(data: Buffer): void {
        if (this.ended) {
            return;
        }
        this.writer.write(data);
        if (this.writer.unsentBytes > maxUnsentBytes) {
            this.unsent?.recordOverlong();
            this.cancel();
        }
        this.unsent?.handleWrite();
    }

    public end(): void {
        if (!this.ended) {
            this.ended = true;
            this.writer.end();
            this.unsent?.handleWrite();
        }
    }

    /** Counts the request's unsent bytes for its client account. */
    public setAccount(account: string | undefined): void {
        if (this.unsent !== undefined) {
            this.unsent.account = account;
        }
    }

    /** Counts a body that is being written to a target as unsent; undefined when the attempt has ended. */
    public setBody(body: UnsentBody | undefined): void {
        this.unsent?.setBody(body);
    }

    /**
     * Closes the connection in the middle of a response. HTTP clients detect the truncation, as the last chunk of the
     * transfer encoding is missing or fewer bytes than the content length have arrived.
     */
    public cancel(): void {
        if (!this.ended) {
            this.ended = true;
            this.closeConnection();
            this.cancellation.cancel();
        }
    }

    /** Like {@link cancel}, once the data that has been written is sent. */
    public cancelAfterSend(): void {
        if (this.request.httpVersion === "1.0") {
            this.cancel();
        } else if (!this.ended) {
            this.ended = true;
            this.writer.sendCollected();
            this.request.socket.destroySoon();
            this.cancellation.cancel();
        }
    }

    /** Closes the connection of a response that is not read, also if its end has been written but not been sent. */
    private endSlowReader(): void {
        if (this.ended) {
            this.closeConnection();
        } else {
            this.cancel();
        }
    }

    /** A response to an HTTP/1.0 caller may end with its connection, so that only a reset shows that it is incomplete. */
    private closeConnection(): void {
        if (this.request.httpVersion === "1.0") {
            this.request.socket.resetAndDestroy();
        } else {
            this.response.destroy();
        }
    }

    public dispose(): void {
        this.request.socket.off("end", this.handleDisconnect);
        this.cancellation.dispose();
    }
}
