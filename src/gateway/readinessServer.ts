import { serve, type ServerType } from "@hono/node-server";
import { Hono } from "hono";
import type { Disposable } from "../base/lifecycle.js";

/** Answers the balancer's question whether the router takes new connections. */
export class ReadinessServer implements Disposable {
    private server: ServerType | undefined;
    private readonly app = new Hono();

    /** `path`: what the balancer asks for. */
    public constructor(path: string, isReady: () => boolean) {
        this.app.get(path, context => context.text(isReady() ? "ready" : "not ready", isReady() ? 200 : 503));
    }

    public listen(host: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            const server = serve({ fetch: this.app.fetch, hostname: host, port }, () => resolve());
            server.once("error", reject);
            this.server = server;
        });
    }

    public dispose(): void {
        this.server?.close();
    }
}
