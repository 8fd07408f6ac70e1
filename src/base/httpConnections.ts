import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";

/** Requests on one connection. */
interface ConnectionState {
    readonly unsentResponses: Set<ServerResponse>;
    /** Bytes read when the connection became idle; further bytes belong to a request. */
    idleBytesRead: number;
}

/**
 * The connections of an HTTP server, and the responses on them that the sockets have not taken completely.
 *
 * Node's `Server.close` also destroys connections whose response has been ended by the program but not been sent, which truncates
 * responses to slow readers.
 */
export class HttpConnections {
    private readonly states = new Map<Socket, ConnectionState>();
    private unsent = 0;

    public constructor(private readonly server: Server) {
        server.on("request", (request: IncomingMessage, response: ServerResponse) =>
            this.addResponse(request, response),
        );
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
        this.states.set(socket, { unsentResponses: new Set(), idleBytesRead: 0 });
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

    /** Closes all connections, also those with responses. */
    public closeAll(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private addResponse({ socket }: IncomingMessage, response: ServerResponse): void {
        this.add(socket);
        const state = this.states.get(socket);
        if (state === undefined) {
            return;
        }
        state.unsentResponses.add(response);
        this.unsent += 1;
        // Follows "finish", or the end of the connection.
        response.once("close", () => {
            if (this.states.has(socket)) {
                state.unsentResponses.delete(response);
                state.idleBytesRead = socket.bytesRead;
                this.unsent -= 1;
            }
        });
    }

    private remove(socket: Socket): void {
        this.unsent -= this.states.get(socket)?.unsentResponses.size ?? 0;
        this.states.delete(socket);
    }
}
