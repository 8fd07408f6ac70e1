import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { computeAcceptBacklog } from "../decisions/admission/acceptQueue.js";
import type { CallerLimits } from "./configuration.js";
import type { GatewaySettings } from "./settings.js";
import type { ConnectionSharing } from "./connectionSharing.js";
import type { GatewayService } from "./gatewayService.js";

/** Headers up to this size are read before the configuration's own limit is known. */
const mostHeaderBytes = 65_536;
/** How often Node looks for connections whose header or request is overdue; milliseconds. */
const timeoutCheckMs = 1_000;
/** A body that takes longer than this ties up memory for a caller that has long given up. */
const requestTimeoutMs = 20_000;
/** Descriptors that are left for targets, the platform, peers and files. */
const callerDescriptorShare = 0.5;
/**
 * From this part of the connections on, answers end theirs. Callers come back after a refusal on a new connection and leave
 * the old one idle for seconds; a flood of refused requests then fills all places, and whoever connects next, of any
 * account, is reset unread. Ended with its answer, a connection is free again
 * for the price of one handshake, and the places below the limit take what comes in the meantime.
 */
const crowdedShare = 0.6;
const headerTooLargeStatus = "HTTP/1.1 431 Request Header Fields Too Large";
const badRequestStatus = "HTTP/1.1 400 Bad Request";
const timeoutStatus = "HTTP/1.1 408 Request Timeout";

/** The HTTP server that callers reach. */
export class CallerServer implements Disposable {
    private readonly server: Server;
    private closesConnections = false;
    private connections = 0;
    private readonly crowdedFrom: number;

    /** `sharing`: what else may become of a connection than to be served here; undefined: nothing. */
    public constructor(
        private readonly service: GatewayService,
        private readonly logger: Logger,
        private readonly shouldLeaveBalancer: () => boolean,
        private readonly limits: GatewaySettings["limits"],
        private readonly sharing?: Pick<ConnectionSharing, "offer" | "findSender">,
    ) {
        const { maxDescriptors } = limits;
        this.server = createServer({
            maxHeaderSize: mostHeaderBytes,
            connectionsCheckingInterval: timeoutCheckMs,
            requestTimeout: requestTimeoutMs,
            noDelay: true,
        });
        this.server.maxConnections = Math.floor(maxDescriptors * callerDescriptorShare);
        this.crowdedFrom = Math.floor(this.server.maxConnections * crowdedShare);
        const [serve] = this.server.listeners("connection");
        this.server.removeAllListeners("connection");
        this.server.on("connection", (socket: Socket) => {
            if (this.sharing?.offer(socket) !== true) {
                this.countConnection(socket);
                serve.call(this.server, socket);
            }
        });
        this.server.on("request", (request, response) => this.handleRequest(request, response));
        this.server.on("clientError", (error, socket) => answerClientError(error, socket as Socket));
        this.server.on("error", error =>
            logger.write("error", "the callers' server failed", { detail: error.message }),
        );
    }

    public listen(host: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            const backlog = computeAcceptBacklog(this.limits.processorShare);
            this.server.once("error", reject);
            this.server.listen({ host, port, backlog }, () => resolve());
        });
    }

    /** Serves a connection that did not come through this server's own address. */
    public handleConnection(socket: Socket): void {
        this.server.emit("connection", socket);
    }

    /** The port it listens on; for tests that listen on any. */
    public get port(): number {
        const address = this.server.address();
        return typeof address === "object" && address ? address.port : 0;
    }

    public applyLimits(limits: CallerLimits): void {
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.headerTimeoutMs;
    }

    /** Tells callers with each answer that their connection ends with it, so that they go elsewhere in time. */
    public closeWithResponses(): void {
        this.closesConnections = true;
    }

    /** Takes no new connections and closes idle ones; those with a request under way go on. */
    public stopAccepting(): void {
        this.server.close();
    }

    public dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private countConnection(socket: Socket): void {
        this.connections += 1;
        socket.once("close", () => {
            this.connections -= 1;
        });
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        // A caller that keeps its connection keeps its router; asked to close it, it is sent to another one.
        const handedOverBy = this.sharing?.findSender(request.socket);
        if (
            handedOverBy !== undefined ||
            this.closesConnections ||
            this.shouldLeaveBalancer() ||
            this.connections > this.crowdedFrom
        ) {
            response.shouldKeepAlive = false;
        }
        this.service.handle(request, response, handedOverBy).catch((error: unknown) => {
            const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
            this.logger.write("error", "a request's handling failed", { detail });
            response.destroy();
        });
    }
}

/** Bytes that are no HTTP request end the connection, with an answer where the caller can still read one. */
function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
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
    // An answer may already be on its way on this connection; another one behind it would belong to no request.
    const { _httpMessage: open } = socket as Socket & { readonly _httpMessage?: ServerResponse };
    if (open?.headersSent === true) {
        socket.destroy();
        return;
    }
    socket.end(`${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
