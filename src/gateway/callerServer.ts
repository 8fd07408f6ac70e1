import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { describeError } from "../base/errors.js";
import type { ClientConnectionGuard } from "../http/clientConnectionGuard.js";
import { HttpConnections } from "../http/httpConnections.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { computeAcceptBacklog } from "../decisions/admission/acceptQueue.js";
import { IdleConnections } from "./callers/idleConnections.js";
import type { CallerLimits } from "./configuration.js";
import type { GatewaySettings } from "./settings.js";
import type { ConnectionSharing } from "./connectionSharing.js";
import { sendFailure } from "./sendFailure.js";
import type { GatewayService } from "./gatewayService.js";

/** Maximum header size that Node accepts; the server is created before the limit of the configuration is available. */
const maxHeaderBytes = 65_536;
/** Interval at which Node checks connections for header and request time-outs; milliseconds. */
const timeoutCheckMs = 1_000;
/** Maximum time to receive a request; a caller whose body takes longer has timed out, and the body would only occupy memory. */
const requestTimeoutMs = 20_000;
/** Share of the file descriptors for callers' connections; the others are for targets, the platform, peers and files. */
const callerDescriptorShare = 0.5;
/**
 * Share of the maximum number of connections above which each response closes its connection. Callers retry a refused request on
 * a new connection and leave the old one idle for seconds. A burst of refused requests then uses up all connections, and the next
 * ones, of any account, are reset before they are read. Closing a connection with its response costs one handshake; the
 * connections between this share and the limit absorb those that arrive in the meantime.
 */
const closingConnectionShare = 0.6;
/** Share of the maximum number of connections above which each new one replaces one without a request, while there is such a one. */
const replacingConnectionShare = 0.98;
const headerTooLargeStatus = "HTTP/1.1 431 Request Header Fields Too Large";
const badRequestStatus = "HTTP/1.1 400 Bad Request";
const timeoutStatus = "HTTP/1.1 408 Request Timeout";

/** The HTTP server for callers. */
export class CallerServer implements Disposable {
    private readonly server: Server;
    private readonly connections: HttpConnections;
    private closesWithResponses = false;
    private connectionCount = 0;
    /** Requests received on each connection. */
    private readonly requestCounts = new WeakMap<Socket, number>();
    private readonly closingThreshold: number;
    private readonly idle: IdleConnections;

    /** `sharing`: may hand a new connection over to another router; undefined if all connections are served here. */
    public constructor(
        private readonly service: GatewayService,
        private readonly logger: Logger,
        private readonly shouldLeaveBalancer: () => boolean,
        private readonly settings: Pick<GatewaySettings, "limits" | "closesIdleConnections">,
        guard: ClientConnectionGuard,
        private readonly sharing?: Pick<ConnectionSharing, "offer" | "findSender">,
    ) {
        this.idle = new IdleConnections(service.clock);
        const { maxDescriptors } = settings.limits;
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            connectionsCheckingInterval: timeoutCheckMs,
            requestTimeout: requestTimeoutMs,
            noDelay: true,
        });
        this.server.maxConnections = Math.floor(maxDescriptors * callerDescriptorShare);
        const maxConnections = Math.floor(this.server.maxConnections * replacingConnectionShare);
        this.connections = new HttpConnections(this.server, { guard, maxConnections });
        this.closingThreshold = Math.floor(this.server.maxConnections * closingConnectionShare);
        const [handleHttpConnection] = this.server.listeners("connection");
        this.server.removeAllListeners("connection");
        this.server.on("connection", (socket: Socket) => {
            if (this.sharing?.offer(socket) !== true) {
                this.countConnection(socket);
                this.closeIdle();
                handleHttpConnection.call(this.server, socket);
                this.connections.add(socket);
            }
        });
        this.server.on("request", (request, response) => this.handleRequest(request, response));
        this.server.on("timeout", socket => runUnlessRead(socket, () => socket.destroy()));
        this.server.on("clientError", (error, socket) => this.handleClientError(error, socket as Socket));
        this.server.on("error", error => logger.write("error", "caller server failed", { detail: error.message }));
    }

    public listen(host: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            const backlog = computeAcceptBacklog(this.settings.limits.processorShare);
            this.server.once("error", reject);
            this.server.listen({ host, port, backlog }, () => resolve());
        });
    }

    /** Serves a connection that another router accepted and handed over. */
    public handleConnection(socket: Socket): void {
        this.server.emit("connection", socket);
    }

    /** Number of idle connections closed since the start to make room for others. */
    public get closedIdleConnections(): number {
        return this.idle.closed;
    }

    /** The port that the server listens on; for tests that let the system choose it. */
    public get port(): number {
        const address = this.server.address();
        return typeof address === "object" && address ? address.port : 0;
    }

    public applyLimits(limits: CallerLimits): void {
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs;
    }

    /** From now on closes each connection with its next response, so that callers reconnect to other routers before this one stops. */
    public closeWithResponses(): void {
        this.closesWithResponses = true;
        this.connections.closeWithResponses();
    }

    /** Number of responses that callers' sockets have not taken completely. */
    public get unsentResponses(): number {
        return this.connections.unsentResponses;
    }

    /** Accepts no new connections and closes idle ones; connections with an open request stay until its response has been sent. */
    public stopAccepting(): void {
        this.connections.stopAccepting();
    }

    public dispose(): void {
        this.connections.closeAll();
    }

    private countConnection(socket: Socket): void {
        this.connectionCount += 1;
        socket.once("close", () => {
            this.idle.remove(socket);
            this.connectionCount -= 1;
        });
    }

    /** Makes room for further connections while most of the places are taken. */
    private closeIdle(): void {
        if (this.settings.closesIdleConnections && this.connectionCount > this.closingThreshold) {
            this.idle.closeOldest(this.connectionCount - this.closingThreshold);
        }
    }

    private handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
        if (error.code !== "ERR_HTTP_REQUEST_TIMEOUT") {
            sendClientError(error, socket, this.connections);
            return;
        }
        const close = (): void => sendClientError(error, socket, this.connections);
        const requests = this.requestCounts.get(socket);
        // Node checks a connection's time limits once, so that a request that is still incomplete after its next bytes would have none.
        const checkAgain = (): void => {
            setTimeout(() => {
                if (this.requestCounts.get(socket) === requests && !socket.destroyed) {
                    close();
                }
            }, timeoutCheckMs);
        };
        runUnlessRead(socket, close, checkAgain);
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const { socket } = request;
        this.requestCounts.set(socket, (this.requestCounts.get(socket) ?? 0) + 1);
        this.idle.remove(socket);
        response.once("finish", () => {
            if (this.settings.closesIdleConnections && response.shouldKeepAlive && !socket.destroyed) {
                this.idle.add(socket);
            }
        });
        // A persistent connection binds its caller to this router; when it is closed, the caller reconnects, to another router.
        const handedOverBy = this.sharing?.findSender(request.socket);
        if (
            handedOverBy !== undefined ||
            this.closesWithResponses ||
            this.shouldLeaveBalancer() ||
            this.connectionCount > this.closingThreshold
        ) {
            response.shouldKeepAlive = false;
        }
        this.service.handle(request, response, handedOverBy).catch((error: unknown) => {
            this.logger.write("error", "request handler failed", { detail: describeError(error) });
            sendFailure(response, {});
        });
    }
}

/**
 * Runs an action after the next read of sockets, unless bytes have arrived on the connection; then `handleRead`. After a stall of the event
 * loop, Node checks time limits before it reads what has arrived.
 */
function runUnlessRead(socket: Socket, action: () => void, handleRead?: () => void): void {
    const { bytesRead } = socket;
    setImmediate(() => {
        if (socket.bytesRead === bytesRead) {
            action();
        } else {
            handleRead?.();
        }
    });
}

/** Closes a connection that sent no valid HTTP request, with an error response if the caller can still read it. */
function sendClientError(error: NodeJS.ErrnoException, socket: Socket, connections: HttpConnections): void {
    if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const status =
        error.code === "HPE_HEADER_OVERFLOW"
            ? headerTooLargeStatus
            : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
              ? timeoutStatus
              : badRequestStatus;
    // If a response has been started on this connection, a second one would belong to no request.
    const { _httpMessage: openResponse } = socket as Socket & { readonly _httpMessage?: ServerResponse };
    if (openResponse?.headersSent === true) {
        socket.destroy();
        return;
    }
    socket.end(`${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    // Not every client closes its end.
    connections.end(socket);
}
