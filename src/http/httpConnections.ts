import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { ClientConnectionGuard } from "./clientConnectionGuard.js";
import { RequestReader } from "./requestReader.js";

/** Requests on one connection. */
interface ConnectionState {
    readonly unsentResponses: Set<ServerResponse>;
    readonly reader: RequestReader | undefined;
    /** Bytes read when the connection became idle; further bytes belong to a request. */
    idleBytesRead: number;
    /** Monotonic time at which the connection was accepted, or its last response was complete; milliseconds. */
    activeAtMs: number;
    /** Monotonic time since which the client has taken nothing of what is being sent; undefined if all has been sent. */
    unreadSinceMs: number | undefined;
    /** Bytes of the current write that the kernel had not taken at that time. */
    queuedBytes: number;
}

/** Limits for the connections of a server that clients can reach. */
export interface HttpConnectionOptions {
    readonly guard: ClientConnectionGuard;
    /** Number of connections above which one without a request is closed for each further one. */
    readonly maxConnections: number;
}

/** Time for which a connection without a request is kept, also while there is no place for others; milliseconds. */
const minIdleMs = 1_000;
/** Time without progress after which a connection may be replaced whose client does not read its response; milliseconds. */
const minUnreadMs = 5_000;
/** Interval of checks for responses that are not read; milliseconds. */
const checkIntervalMs = 1_000;
const expectationFailedStatus = 417;

/**
 * The connections of an HTTP server, and the responses on them that the sockets have not taken completely.
 *
 * Node's `Server.close` also destroys connections whose response has been ended by the program but not been sent, which truncates
 * responses to slow readers.
 */
export class HttpConnections {
    private readonly states = new Map<Socket, ConnectionState>();
    private readonly checkTimer: NodeJS.Timeout | undefined;
    private unsent = 0;

    /** `options`: absent if the server's clients are trusted to stay within the limits. */
    public constructor(
        private readonly server: Server,
        private readonly options?: HttpConnectionOptions,
    ) {
        server.prependListener("request", (request: IncomingMessage, response: ServerResponse) =>
            this.addResponse(request, response),
        );
        if (options !== undefined) {
            // Node would answer without reporting the request, and keep the connection.
            server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
                this.addResponse(request, response);
                response.writeHead(expectationFailedStatus, { "content-length": "0", connection: "close" });
                response.end();
            });
            // Node has closed a connection, as there are too many; the next one finds a place.
            server.on("drop", () => this.addPlaces());
            this.checkTimer = setInterval(() => this.closeUnread(options), checkIntervalMs);
            this.checkTimer.unref();
        }
    }

    /** Number of responses that their connections have not taken completely. */
    public get unsentResponses(): number {
        return this.unsent;
    }

    /** Adds a connection that the server has accepted. */
    public add(socket: Socket): void {
        if (this.states.has(socket)) {
            return;
        }
        this.addPlaces();
        const { options } = this;
        this.states.set(socket, {
            unsentResponses: new Set(),
            reader: options && new RequestReader(socket, options.guard),
            idleBytesRead: 0,
            activeAtMs: this.nowMs(),
            unreadSinceMs: undefined,
            queuedBytes: 0,
        });
        socket.once("close", () => this.remove(socket));
    }

    /** Tells the clients of open requests, with the heads of their responses, that their connections will be closed. */
    public closeWithResponses(): void {
        for (const { unsentResponses } of this.states.values()) {
            for (const response of unsentResponses) {
                response.shouldKeepAlive = false;
            }
        }
    }

    /** Accepts no new connections, and closes those without a request; the others stay until their responses have been sent. */
    public stopAccepting(): void {
        NetServer.prototype.close.call(this.server);
        for (const [socket, { unsentResponses, idleBytesRead }] of this.states) {
            if (unsentResponses.size === 0 && socket.bytesRead === idleBytesRead) {
                socket.destroy();
            }
        }
    }

    /** Ends a connection, and discards what its client still sends for a time, so that the client can read the response. */
    public end(socket: Socket): void {
        const reader = this.states.get(socket)?.reader;
        if (reader === undefined) {
            socket.destroySoon();
        } else {
            reader.endConnection();
        }
    }

    /** Closes all connections, also those with responses. */
    public closeAll(): void {
        clearInterval(this.checkTimer);
        this.server.close();
        this.server.closeAllConnections();
    }

    private nowMs(): number {
        return this.options?.guard.clock.nowMs() ?? 0;
    }

    /**
     * Closes connections until there is a place for a further one: those of clients that send requests ahead, then those that have been
     * without a request for longest.
     */
    private addPlaces(): void {
        const { options } = this;
        while (options !== undefined && this.states.size >= options.maxConnections) {
            const found = this.findReplaceable();
            if (found === undefined) {
                return;
            }
            const [socket, { reader }] = found;
            options.guard.recordClosure("no-place");
            this.remove(socket);
            if (reader?.waitsForTurn === true) {
                reader.endConnection();
            } else {
                socket.destroy();
            }
        }
    }

    private findReplaceable(): readonly [Socket, ConnectionState] | undefined {
        let oldest: readonly [Socket, ConnectionState] | undefined;
        const nowMs = this.nowMs();
        let oldestAtMs = nowMs - minIdleMs;
        for (const entry of this.states) {
            const [, state] = entry;
            const { reader, activeAtMs } = state;
            if (reader?.waitsForTurn === true) {
                return entry;
            }
            if (activeAtMs < oldestAtMs && !isServing(state, nowMs)) {
                oldest = entry;
                oldestAtMs = activeAtMs;
            }
        }
        return oldest;
    }

    /** Closes connections whose clients have read nothing of a response for too long. */
    private closeUnread({ guard }: HttpConnectionOptions): void {
        const nowMs = this.nowMs();
        for (const [socket, state] of this.states) {
            const queuedBytes = countQueuedBytes(socket);
            if (queuedBytes === 0) {
                state.unreadSinceMs = undefined;
            } else if (state.unreadSinceMs === undefined || queuedBytes !== state.queuedBytes) {
                state.unreadSinceMs = nowMs;
                state.queuedBytes = queuedBytes;
            } else if (nowMs - state.unreadSinceMs > guard.limits.unreadTimeoutMs) {
                guard.recordClosure("unread-response");
                socket.destroy();
            }
        }
    }

    private addResponse(request: IncomingMessage, response: ServerResponse): void {
        const { socket } = request;
        this.add(socket);
        const state = this.states.get(socket);
        if (state === undefined) {
            return;
        }
        state.unsentResponses.add(response);
        state.reader?.handleRequest(request, response);
        this.unsent += 1;
        // Follows "finish", or the end of the connection.
        response.once("close", () => {
            if (this.states.has(socket)) {
                state.unsentResponses.delete(response);
                state.idleBytesRead = socket.bytesRead;
                state.activeAtMs = this.nowMs();
                this.unsent -= 1;
                state.reader?.handleResponseEnd(response);
            }
        });
    }

    private remove(socket: Socket): void {
        this.unsent -= this.states.get(socket)?.unsentResponses.size ?? 0;
        this.states.delete(socket);
    }
}

/** Bytes of a socket's current write that the kernel has not taken; fewer with each read of a peer that reads slowly. */
function countQueuedBytes(socket: Socket): number {
    const { _handle: handle } = socket as Socket & { readonly _handle?: { readonly writeQueueSize?: number } };
    return handle?.writeQueueSize ?? 0;
}

/** Whether a connection has a request; one whose complete response is not read does not count. */
function isServing({ unsentResponses, unreadSinceMs }: ConnectionState, nowMs: number): boolean {
    const isUnread = unreadSinceMs !== undefined && nowMs - unreadSinceMs > minUnreadMs;
    return [...unsentResponses].some(({ writableEnded }) => !writableEnded || !isUnread);
}
