import { serve } from "@hono/node-server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Disposable } from "../base/lifecycle.js";
import { HttpConnections, type HttpConnectionOptions } from "../http/httpConnections.js";
import { controlRouter } from "./controlApi.js";
import { ControlError } from "./errors.js";
import type { ControlHost } from "./host.js";
import { isSameSecret, toAuthorization } from "./secret.js";

/**
 * How long an idle connection is kept; milliseconds. It must be longer than the balancer's and the clients' own idle times
 * (60 s is usual): the side that closes first must be the one that sends next, or a request is put on a connection that
 * the server closes in this moment, and the caller sees a reset of a request that never arrived.
 */
const idleConnectionMs = 75_000;
const maxControlBodyBytes = 4 * 1024 * 1024;
/** Connections that a server accepts beyond the number from which on new ones replace others, as a fraction of that number. */
const extraConnectionShare = 0.25;

/** Whether the daemon lives, and whether the balancer may send it callers. */
export interface HealthSource {
    isReady(): boolean;
}

/** Builds the app that every daemon serves on its own address: health, and the control API behind the secret. */
export function createControlApp(host: ControlHost, health: HealthSource, secret: string): Hono {
    const app = new Hono();
    app.get("/healthz", context => context.json({ status: "alive" }));
    app.get("/readyz", context =>
        health.isReady() ? context.json({ status: "ready" }) : context.json({ status: "not-ready" }, 503),
    );
    const expected = toAuthorization(secret);
    app.use("/trpc/*", async (context, next) => {
        if (!isSameSecret(context.req.header("authorization") ?? "", expected)) {
            return context.json({ title: "the shared secret is missing or wrong" }, 401);
        }
        if (Number(context.req.header("content-length") ?? "0") > maxControlBodyBytes) {
            return context.json({ title: "too large" }, 413);
        }
        await next();
        return undefined;
    });
    app.all("/trpc/*", context =>
        fetchRequestHandler({
            endpoint: "/trpc",
            req: context.req.raw,
            router: controlRouter,
            createContext: () => host,
        }),
    );
    return app;
}

/** Listens with an app. `options`: limits for clients' connections. Errors: the address is taken or not ours. */
export function listenOn(
    app: Hono,
    host: string,
    port: number,
    options: HttpConnectionOptions,
): ResultAsync<HttpListener, ControlError> {
    const listening = new Promise<HttpListener>((resolve, reject) => {
        const serverOptions = { keepAliveTimeout: idleConnectionMs };
        const server = serve({ fetch: app.fetch, hostname: host, port, serverOptions }, () =>
            resolve(listener),
        ) as Server;
        const listener = new HttpListener(server, options);
        server.once("error", reject);
    });
    return ResultAsync.fromPromise(
        listening,
        cause => new ControlError(`cannot listen on ${host}:${port}: ${String(cause)}`, false, cause),
    );
}

/** A listening HTTP server. */
export class HttpListener implements Disposable {
    private readonly connections: HttpConnections;

    public constructor(server: Server, options: HttpConnectionOptions) {
        this.connections = new HttpConnections(server, options);
        server.maxConnections = Math.ceil(options.maxConnections * (1 + extraConnectionShare));
        server.on("connection", (socket: Socket) => this.connections.add(socket));
    }

    /** Number of responses that have not been sent completely. */
    public get unsentResponses(): number {
        return this.connections.unsentResponses;
    }

    /** Accepts no new connections; those with a request stay until its response has been sent. */
    public stopAccepting(): void {
        this.connections.stopAccepting();
    }

    public dispose(): void {
        this.connections.closeAll();
    }
}
