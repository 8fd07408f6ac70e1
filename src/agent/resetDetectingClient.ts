import type { Socket } from "node:net";
import { isEndedByClose } from "../base/responseFraming.js";
import { buildConnector, Client, DecoratorHandler, type Dispatcher } from "undici";

/** The connection was reset during a response whose end shows only in the end of the connection. */
class ConnectionResetError extends Error {
    public readonly code = "ECONNRESET";

    public constructor() {
        super("connection reset by the target");
    }
}

/** State of a client's connection. */
class ConnectionState {
    private socket: Socket | undefined;
    private hasError = false;

    public watch(socket: Socket): void {
        this.socket = socket;
        this.hasError = false;
        socket.once("error", () => {
            this.hasError = true;
        });
    }

    /**
     * Whether the connection was reset. A reset directly behind the last bytes is reported as a regular end, but the socket has no remote
     * address any more then. To be called only when the connection has ended, as Node caches the address.
     */
    public get isReset(): boolean {
        return this.hasError || this.socket?.remotePort === undefined;
    }
}

type Handler = Required<Dispatcher.DispatchHandler>;

/** Passes on the events of a response, and a reset of its connection in place of its end. */
class ResetDetectingHandler implements Dispatcher.DispatchHandler {
    /** Accepts undici's former handlers too, which its pools pass on. */
    private readonly handler: Handler;
    private endsWithConnection = false;

    public constructor(
        private readonly method: string,
        handler: Dispatcher.DispatchHandler,
        private readonly state: ConnectionState,
    ) {
        this.handler = new DecoratorHandler(handler) as Dispatcher.DispatchHandler as Handler;
    }

    public onRequestStart(...args: Parameters<Handler["onRequestStart"]>): void {
        this.handler.onRequestStart(...args);
    }

    public onRequestUpgrade(...args: Parameters<Handler["onRequestUpgrade"]>): void {
        this.handler.onRequestUpgrade(...args);
    }

    public onResponseStart(...args: Parameters<Handler["onResponseStart"]>): void {
        const [, status, headers] = args;
        this.endsWithConnection = isEndedByClose(this.method, status, headers);
        this.handler.onResponseStart(...args);
    }

    public onResponseData(...args: Parameters<Handler["onResponseData"]>): void {
        this.handler.onResponseData(...args);
    }

    public onResponseEnd(...args: Parameters<Handler["onResponseEnd"]>): void {
        if (this.endsWithConnection && this.state.isReset) {
            this.handler.onResponseError(args[0], new ConnectionResetError());
        } else {
            this.handler.onResponseEnd(...args);
        }
    }

    public onResponseError(...args: Parameters<Handler["onResponseError"]>): void {
        this.handler.onResponseError(...args);
    }
}

/**
 * Creates a client with one connection, in which a response without a length fails if the connection is reset: undici takes such a
 * response for whole although its end is missing.
 */
export function createResetDetectingClient(
    origin: string | URL,
    options: Client.Options,
    connectTimeoutMs: number,
): Client {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    const state = new ConnectionState();
    const client = new Client(origin, {
        ...options,
        pipelining: 1,
        connect: (connectOptions, callback) => {
            connect(connectOptions, (...outcome) => {
                const [, socket] = outcome;
                if (socket) {
                    state.watch(socket);
                }
                callback(...outcome);
            });
        },
    });
    const dispatch = client.dispatch.bind(client);
    client.dispatch = (request, handler) =>
        dispatch(request, new ResetDetectingHandler(request.method, handler, state));
    return client;
}
