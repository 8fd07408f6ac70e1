import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { Disposable } from "../base/lifecycle.js";
import { isEndedByClose } from "../base/responseFraming.js";
import type { ReadTurns } from "../http/readTurns.js";

/** Keep-alive time for a target that announces none: such a target may close an idle connection within a second. */
const defaultKeepAliveMs = 400;
/** Subtracted from the keep-alive time that a target announces, so that no request is sent while the target closes the connection. */
const keepAliveMarginMs = 1_000;
const maxKeepAliveMs = 60_000;
const keepAliveProbeMs = 1_000;
const minFinalStatus = 200;
/**
 * Maximum bytes of a response besides its body: status line, headers, interim responses, chunk encoding and trailers. A faulty
 * target may send any of them without end, and the HTTP parser does not report chunk extensions.
 */
const maxOverheadBytes = 262_144;
/** Overhead allowed per body byte: the encoding of a chunk of one byte adds five bytes. */
const maxOverheadPerBodyByte = 8;
/** Maximum number of chunks of a body, in addition to one for each 32 bytes: each chunk costs far more than its bytes. */
const maxExtraChunks = 65_536;
const bodyBytesPerChunk = 32;
/** Chunks and events that a connection passes on before it waits for its next turn. */
const itemsPerTurn = 1_024;
/** Codes of undici's errors for a head of a response that exceeds its maximum size. */
const headOverflowCodes = new Set(["UND_ERR_HEADERS_OVERFLOW", "HPE_HEADER_OVERFLOW"]);
/** Maximum number of interim responses (1xx) to one request. */
const maxInterimResponses = 16;
/** One shared instance: capturing the stack trace of an error would be the main cost of closing a socket. */
const closedError = new Error("connection closed");

/** A request as it is sent to a target. */
export interface TargetRequest {
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** Why a send ended without a complete response. */
export type SendFailure =
    /** Nothing was written to a connection. */
    | "not-sent"
    /** The listener's `canStart` returned false. */
    | "withheld"
    /** The connection failed after the request was written; it may have reached the target. */
    | "broken"
    /** The target sent more bytes outside the response body than any response needs; the request may have been executed. */
    | "endless"
    | "cancelled";

/** Receives a target's response; no further calls after `handleEnd` or `handleFailure`. */
export interface ResponseListener {
    /** Called once the connection is established; returns false if the request must not be written any more. */
    canStart(): boolean;
    /** The request is being written; from now on the target may execute it. */
    handleSent(): void;
    handleHead(status: number, headers: IncomingHttpHeaders): void;
    /** Returns the number of events that were relayed. */
    handleData(chunk: Buffer): number;
    /** The connection has taken all bytes of the request. */
    handleDrain(): void;
    handleEnd(): void;
    handleFailure(failure: SendFailure, detail: string): void;
}

/** Cancels a request by closing its connection, on which the target aborts the request. */
export type CancelSend = () => void;

/** Limits for connections to targets. */
export interface ConnectionLimits {
    readonly connectTimeoutMs: number;
    /** Maximum size of a response body; the connection is closed when a body exceeds it. */
    readonly mostAnswerBytes: number;
    /** Shares the event loop among connections; undefined: each passes on all that it has received. */
    readonly readTurns?: ReadTurns;
}

/** A connection to a target; carries one request at a time. */
export class TargetConnection implements Disposable {
    private readonly client: Client;
    private readonly readTurns: ReadTurns | undefined;
    private socket: Socket | undefined;
    private hasSocketError = false;
    private closed = false;
    private exchange: Exchange | undefined;
    /** Monotonic time at which the last request ended; milliseconds, 0 before the first. */
    public lastUsedAtMs = 0;

    /** `onDidClose`: called when the connection can't be used any more. */
    public constructor(
        address: string,
        { connectTimeoutMs, mostAnswerBytes, readTurns }: ConnectionLimits,
        private readonly onDidClose: (connection: TargetConnection) => void,
    ) {
        this.readTurns = readTurns;
        const connect = buildConnector({ timeout: connectTimeoutMs });
        this.client = new Client(`http://${address}`, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            maxResponseSize: mostAnswerBytes,
            keepAliveTimeout: defaultKeepAliveMs,
            keepAliveTimeoutThreshold: keepAliveMarginMs,
            keepAliveMaxTimeout: maxKeepAliveMs,
            connect: (options, callback) => {
                connect(options, (...outcome) => {
                    const [, socket] = outcome;
                    if (socket) {
                        this.watchSocket(socket);
                    }
                    callback(...outcome);
                });
            },
        });
        this.client.on("disconnect", () => this.close());
    }

    /** Whether the connection is open and idle. */
    public get isUsable(): boolean {
        return !this.closed && this.exchange === undefined;
    }

    /** Whether the connection has been established; it is established with the first request. */
    public get isConnected(): boolean {
        return this.socket !== undefined;
    }

    /** Bytes of the current request that the connection has not taken. */
    public get unsentBytes(): number {
        return this.socket?.writableLength ?? 0;
    }

    /** Sends a request; the connection must be usable. */
    public send(request: TargetRequest, listener: ResponseListener): CancelSend {
        const { readTurns } = this;
        const exchange = new Exchange(request.method, listener, {
            hasSocketError: () => this.hasSocketError,
            hasRemoteAddress: () => this.socket?.remotePort !== undefined,
            countBytesRead: () => this.socket?.bytesRead ?? 0,
            waitForTurn: readTurns && (resume => readTurns.add(resume)),
            release: () => {
                this.exchange = undefined;
            },
            close: () => this.close(),
        });
        this.exchange = exchange;
        this.client.dispatch(
            {
                method: request.method as Dispatcher.HttpMethod,
                path: request.path,
                headers: request.headers,
                body: request.body,
            },
            exchange,
        );
        return () => exchange.cancel();
    }

    public dispose(): void {
        this.close();
    }

    private watchSocket(socket: Socket): void {
        this.socket = socket;
        socket.setKeepAlive(true, keepAliveProbeMs);
        // Registered before undici's own listener, which treats a reset as the end of a response without a length. Such a
        // response would count as complete although its end is missing; the flag set here makes it a failure.
        socket.once("error", () => {
            this.hasSocketError = true;
        });
        socket.on("readable", () => this.exchange?.checkOverhead());
        socket.on("drain", () => this.exchange?.handleDrain());
    }

    private close(): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        void this.client.destroy(closedError);
        this.onDidClose(this);
    }
}

/** The connection of an {@link Exchange}. */
interface ExchangeOwner {
    hasSocketError(): boolean;
    /** Whether the socket still has a remote address; to be called only when the connection has ended, as Node caches the address. */
    hasRemoteAddress(): boolean;
    /** Bytes read from the connection so far. */
    countBytesRead(): number;
    /** Calls `resume` in a later turn of the event loop; undefined if the connection is not to wait. */
    readonly waitForTurn: ((resume: () => void) => void) | undefined;
    release(): void;
    close(): void;
}

/** One request on a connection, from its dispatch to the end of its response. */
class Exchange implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private isSent = false;
    private endsWithConnection = false;
    private hasEnded = false;
    private interimResponses = 0;
    private bytesReadBefore = 0;
    private bodyBytes = 0;
    private chunks = 0;
    /** Chunks and events since the last turn. */
    private items = 0;

    public constructor(
        private readonly method: string,
        private readonly listener: ResponseListener,
        private readonly owner: ExchangeOwner,
    ) {}

    public onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.hasEnded) {
            controller.abort(new Error("cancelled"));
            return;
        }
        if (!this.listener.canStart()) {
            this.fail("withheld", "the target stopped accepting requests while the connection was established");
            controller.abort(new Error("withheld"));
            return;
        }
        this.isSent = true;
        this.bytesReadBefore = this.owner.countBytesRead();
        this.listener.handleSent();
    }

    public onResponseStart(...head: [Dispatcher.DispatchController, number, IncomingHttpHeaders]): void {
        const [, status, headers] = head;
        if (this.hasEnded) {
            return;
        }
        if (status < minFinalStatus) {
            this.interimResponses += 1;
            if (this.interimResponses > maxInterimResponses) {
                this.fail("endless", "too many interim responses");
            }
        } else {
            this.endsWithConnection = isEndedByClose(this.method, status, headers);
            this.listener.handleHead(status, headers);
        }
    }

    public onResponseData(...data: [Dispatcher.DispatchController, Buffer]): void {
        const [controller, chunk] = data;
        if (!this.hasEnded) {
            this.bodyBytes += chunk.length;
            this.chunks += 1;
            if (this.chunks > maxExtraChunks + this.bodyBytes / bodyBytesPerChunk) {
                this.fail("endless", "response body with too many small chunks");
                return;
            }
            this.items += 1 + this.listener.handleData(chunk);
            if (this.items >= itemsPerTurn && !this.hasEnded && this.owner.waitForTurn !== undefined) {
                this.items = 0;
                controller.pause();
                this.owner.waitForTurn(() => controller.resume());
            }
        }
    }

    /** Closes the connection if the bytes read from it exceed the body by more than the allowed overhead. */
    public checkOverhead(): void {
        const overheadBytes = this.owner.countBytesRead() - this.bytesReadBefore - this.bodyBytes;
        if (!this.hasEnded && overheadBytes > maxOverheadBytes + this.bodyBytes * maxOverheadPerBodyByte) {
            this.fail("endless", "too many bytes outside the response body");
        }
    }

    public handleDrain(): void {
        if (!this.hasEnded) {
            this.listener.handleDrain();
        }
    }

    public onResponseEnd(): void {
        if (this.hasEnded) {
            return;
        }
        // A reset directly after the last bytes is reported as a regular end: libuv reads the bytes, detects the hang-up and does
        // not query the error. A connection that was reset has no remote address any more; one that the peer closed still has it.
        if (this.owner.hasSocketError() || (this.endsWithConnection && !this.owner.hasRemoteAddress())) {
            this.fail("broken", "connection reset by the target");
            return;
        }
        this.hasEnded = true;
        this.owner.release();
        try {
            this.listener.handleEnd();
        } catch (error) {
            // undici reports no error to a request that is complete, so that its listener would wait forever.
            this.listener.handleFailure("broken", describeError(error as Error));
        }
    }

    public onResponseError(...failure: [Dispatcher.DispatchController, Error]): void {
        const [, error] = failure;
        if (!this.hasEnded) {
            const { code = "" } = error as Error & { readonly code?: string };
            const failure = headOverflowCodes.has(code) ? "endless" : "broken";
            this.fail(this.isSent ? failure : "not-sent", describeError(error));
        }
    }

    public cancel(): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        // Closes before it aborts, as undici's abort would otherwise destroy the socket with a new error.
        this.owner.close();
        this.controller?.abort(closedError);
    }

    private fail(failure: SendFailure, detail: string): void {
        this.hasEnded = true;
        this.owner.close();
        this.listener.handleFailure(failure, detail);
    }
}

function describeError(error: Error): string {
    const { code } = error as Error & { readonly code?: string };
    return code === undefined ? error.message : `${code}: ${error.message}`;
}
