import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { Disposable } from "../base/lifecycle.js";

/** Without a hint a target may close an idle connection within a second. */
const idleWithoutHintMs = 400;
/** Taken off the idle time that a target announces, so that a request does not cross its close. */
const idleMarginMs = 1_000;
const longestIdleMs = 60_000;
const keepAliveProbeMs = 1_000;
const firstFinalStatus = 200;
/**
 * Bytes of an answer beyond its body: status line, headers, interim answers, the encoding of chunks and trailers. A target in
 * trouble may send any of them without end, and the HTTP parser reports nothing of a chunk's extension.
 */
const mostOverheadBytes = 262_144;
/** The encoding of a chunk of one byte takes five more. */
const overheadOfBodyByte = 8;
/** Pieces in which a body comes, beyond one for each 32 bytes: each costs far more than its bytes. */
const mostPieces = 65_536;
const bytesOfPiece = 32;
/** Interim answers (1xx) to one request. */
const mostInterimAnswers = 16;
/** Shared: creating an error's stack text is the main cost of closing a socket. */
const closedError = new Error("the connection is closed");

/** One request as it goes to a target. */
export interface TargetRequest {
    readonly method: string;
    readonly path: string;
    /** Names and values by turns. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** How a request at a target ended without a whole answer. */
export type SendFailure =
    /** It never left this process. */
    | "not-sent"
    /** The listener did not let it start. */
    | "withheld"
    /** It may have reached the target. */
    | "broken"
    | "cancelled";

/** Takes a target's answer; after `handleEnd` or `handleFailure` nothing more comes. */
export interface ResponseListener {
    /** The connection is up; false: the request must not be written any more. */
    canStart(): boolean;
    /** The request is being written: from here on it may run. */
    handleSent(): void;
    handleHead(status: number, headers: IncomingHttpHeaders): void;
    handleData(chunk: Buffer): void;
    handleEnd(): void;
    handleFailure(failure: SendFailure, detail: string): void;
}

/** Stops a request; its connection is closed, which makes the target drop it. */
export type CancelSend = () => void;

/** Bounds on connections to targets. */
export interface ConnectionLimits {
    readonly connectTimeoutMs: number;
    /** A longer body is broken off. */
    readonly mostAnswerBytes: number;
}

/** One connection to a target; carries one request at a time. */
export class TargetConnection implements Disposable {
    private readonly client: Client;
    private socket: Socket | undefined;
    private hasSocketError = false;
    private closed = false;
    private exchange: Exchange | undefined;
    /** Monotonic time of the last use. */
    public lastUsedAtMs = 0;

    /** `onDidClose`: the connection can't be used any more. */
    public constructor(
        address: string,
        { connectTimeoutMs, mostAnswerBytes }: ConnectionLimits,
        private readonly onDidClose: (connection: TargetConnection) => void,
    ) {
        const connect = buildConnector({ timeout: connectTimeoutMs });
        this.client = new Client(`http://${address}`, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            maxResponseSize: mostAnswerBytes,
            keepAliveTimeout: idleWithoutHintMs,
            keepAliveTimeoutThreshold: idleMarginMs,
            keepAliveMaxTimeout: longestIdleMs,
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

    /** Whether an idle connection can take a request. */
    public get isUsable(): boolean {
        return !this.closed && this.exchange === undefined;
    }

    /** Whether it was ever up; a fresh one has no connection yet. */
    public get isConnected(): boolean {
        return this.socket !== undefined;
    }

    /** Sends a request. */
    public send(request: TargetRequest, listener: ResponseListener): CancelSend {
        const exchange = new Exchange(listener, {
            hasSocketError: () => this.hasSocketError,
            hasPeer: () => this.socket?.remotePort !== undefined,
            countBytesRead: () => this.socket?.bytesRead ?? 0,
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
        // Registered before undici's own listener, which takes a reset for the end of an answer that has no length. Such an
        // answer would pass for whole although its last part is missing; with the error noted here it is reported as broken.
        socket.once("error", () => {
            this.hasSocketError = true;
        });
        socket.on("readable", () => this.exchange?.checkOverhead());
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

interface ExchangeOwner {
    hasSocketError(): boolean;
    /** Whether the kernel still knows the peer; asked once at most, as Node remembers the answer. */
    hasPeer(): boolean;
    /** Bytes read from the connection so far. */
    countBytesRead(): number;
    release(): void;
    close(): void;
}

/** One request on a connection, from its dispatch to the end of its answer. */
class Exchange implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private isSent = false;
    /** Only the connection's end tells where the answer ends. */
    private isUnframed = false;
    private isOver = false;
    private interimAnswers = 0;
    private bytesReadBefore = 0;
    private bodyBytes = 0;
    private pieces = 0;

    public constructor(
        private readonly listener: ResponseListener,
        private readonly owner: ExchangeOwner,
    ) {}

    public onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.isOver) {
            controller.abort(new Error("cancelled"));
            return;
        }
        if (!this.listener.canStart()) {
            this.fail("withheld", "the target closed while the connection was set up");
            controller.abort(new Error("withheld"));
            return;
        }
        this.isSent = true;
        this.bytesReadBefore = this.owner.countBytesRead();
        this.listener.handleSent();
    }

    public onResponseStart(...head: [Dispatcher.DispatchController, number, IncomingHttpHeaders]): void {
        const [, status, headers] = head;
        if (this.isOver) {
            return;
        }
        if (status < firstFinalStatus) {
            this.interimAnswers += 1;
            if (this.interimAnswers > mostInterimAnswers) {
                this.fail("broken", "interim answers without end");
            }
        } else {
            this.isUnframed = headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
            this.listener.handleHead(status, headers);
        }
    }

    public onResponseData(...data: [Dispatcher.DispatchController, Buffer]): void {
        const [, chunk] = data;
        if (!this.isOver) {
            this.bodyBytes += chunk.length;
            this.pieces += 1;
            if (this.pieces > mostPieces + this.bodyBytes / bytesOfPiece) {
                this.fail("broken", "a body in tiny pieces without end");
                return;
            }
            this.listener.handleData(chunk);
        }
    }

    /** Breaks the connection off when far more has been read from it than the answer's body. */
    public checkOverhead(): void {
        const overheadBytes = this.owner.countBytesRead() - this.bytesReadBefore - this.bodyBytes;
        if (!this.isOver && overheadBytes > mostOverheadBytes + this.bodyBytes * overheadOfBodyByte) {
            this.fail("broken", "bytes without end that are no answer");
        }
    }

    public onResponseEnd(): void {
        if (this.isOver) {
            return;
        }
        // A reset right behind the last bytes arrives as a clean end: libuv reads the bytes, sees the hang-up and does not
        // ask for the error. A connection that was reset has no peer any more, while one that the peer closed still has.
        if (this.owner.hasSocketError() || (this.isUnframed && !this.owner.hasPeer())) {
            this.fail("broken", "the connection was reset");
            return;
        }
        this.isOver = true;
        this.owner.release();
        this.listener.handleEnd();
    }

    public onResponseError(...failure: [Dispatcher.DispatchController, Error]): void {
        const [, error] = failure;
        if (!this.isOver) {
            this.fail(this.isSent ? "broken" : "not-sent", describeError(error));
        }
    }

    public cancel(): void {
        if (this.isOver) {
            return;
        }
        this.isOver = true;
        // First, so that the socket is gone when undici would destroy it with an error of its own.
        this.owner.close();
        this.controller?.abort(closedError);
    }

    private fail(failure: SendFailure, detail: string): void {
        this.isOver = true;
        this.owner.close();
        this.listener.handleFailure(failure, detail);
    }
}

function describeError(error: Error): string {
    const { code } = error as Error & { readonly code?: string };
    return code === undefined ? error.message : `${code}: ${error.message}`;
}
