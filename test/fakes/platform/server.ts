import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { serve, type HttpBindings, type ServerType } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono, type Context } from "hono";
import { z } from "zod";
import { Streams } from "./streams.js";

const faultSchema = z.object({
    mode: z.enum(["ok", "down", "slow", "lose-answers"]),
    /** For "slow": how long each request waits before it is acted on. */
    delayMs: z.number().nonnegative().default(1_000),
    /** How many requests are affected before the service is well again; until told otherwise when left out. */
    count: z.number().int().positive().optional(),
});

const vmSchema = z.object({ id: z.string(), dataCentre: z.string(), state: z.enum(["live", "leaving"]) });
const vmsSchema = z.union([z.array(vmSchema), z.object({ vms: z.array(vmSchema) })]);

type Fault = z.infer<typeof faultSchema>;
type FakeContext = Context<{ Bindings: HttpBindings }>;

export interface PlatformOptions {
    readonly port?: number;
    readonly retentionMs?: number;
    readonly vmLagMs?: number;
}

export interface RunningPlatform {
    readonly port: number;
    readonly url: string;
    readonly streams: Streams;
    /** "ok" again once a counted fault has hit its requests. */
    getFaultMode(): Fault["mode"];
    setFault(fault: { mode: Fault["mode"]; delayMs?: number; count?: number }): void;
    close(): Promise<void>;
}

const dayMs = 86_400_000;
const defaultLimit = 1_000;

/** Breaks the connection, so that the client sees no answer at all. */
function closeConnection(context: FakeContext): Response {
    context.env.incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
}

class FakePlatform {
    private fault: Fault = { mode: "ok", delayMs: 0 };
    private vms: readonly z.infer<typeof vmSchema>[] = [];

    public constructor(
        private readonly streams: Streams,
        private readonly vmLagMs: number,
    ) {}

    public setFault(fault: Fault): void {
        this.fault = fault;
    }

    public getFaultMode(): Fault["mode"] {
        return this.fault.mode;
    }

    public buildApp(): Hono<{ Bindings: HttpBindings }> {
        const app = new Hono<{ Bindings: HttpBindings }>();
        app.post("/faults", async context => {
            const parsed = faultSchema.safeParse(await context.req.json());
            if (!parsed.success) {
                return context.json({ error: parsed.error.issues }, 400);
            }
            this.setFault(parsed.data);
            return context.json(this.fault);
        });
        app.put("/vms", async context => {
            const parsed = vmsSchema.safeParse(await context.req.json());
            if (!parsed.success) {
                return context.json({ error: parsed.error.issues }, 400);
            }
            const vms = "vms" in parsed.data ? parsed.data.vms : parsed.data;
            setTimeout(() => (this.vms = vms), this.vmLagMs);
            return context.json({ visibleInMs: this.vmLagMs });
        });
        app.post("/streams/:name/records", async context => {
            const value: unknown = await context.req.json();
            const mode = await this.takeFault(true);
            if (mode === "down") {
                return closeConnection(context);
            }
            const { offset, appendedAtMs } = this.streams.append(context.req.param("name"), value);
            return mode === "lose-answers" ? closeConnection(context) : context.json({ offset, appendedAtMs }, 201);
        });
        app.get("/streams/:name/records", async context => {
            if ((await this.takeFault(false)) === "down") {
                return closeConnection(context);
            }
            return this.readStream(context, context.req.param("name"));
        });
        app.get("/vms", async context => {
            const mode = await this.takeFault(false);
            return mode === "down" ? closeConnection(context) : context.json({ vms: this.vms });
        });
        return app;
    }

    /** The fault that hits this request. Only appends have an answer whose loss matters. */
    private async takeFault(isAppend: boolean): Promise<Fault["mode"]> {
        const { mode, delayMs, count } = this.fault;
        if (mode === "ok" || (mode === "lose-answers" && !isAppend)) {
            return "ok";
        }
        if (count !== undefined) {
            this.fault = count > 1 ? { ...this.fault, count: count - 1 } : { mode: "ok", delayMs: 0 };
        }
        if (mode === "slow") {
            await sleep(delayMs);
        }
        return mode;
    }

    private async readStream(context: FakeContext, name: string): Promise<Response> {
        const from = Number(context.req.query("from") ?? 0);
        const limit = Number(context.req.query("limit") ?? defaultLimit);
        const waitMs = Number(context.req.query("waitMs") ?? 0);
        if (![from, limit, waitMs].every(value => Number.isInteger(value) && value >= 0)) {
            return context.json({ error: "from, limit and waitMs must be whole numbers" }, 400);
        }
        if (waitMs > 0 && this.streams.read(name, from, limit).records.length === 0) {
            await this.waitForAppend(name, waitMs, context.req.raw.signal);
            if (this.fault.mode === "down") {
                return closeConnection(context);
            }
        }
        return context.json(this.streams.read(name, from, limit));
    }

    private async waitForAppend(name: string, waitMs: number, signal: AbortSignal): Promise<void> {
        await new Promise<void>(resolve => {
            const timer = setTimeout(() => finish(), waitMs);
            const stopWaiting = this.streams.onNextAppend(name, () => finish());
            const finish = (): void => {
                clearTimeout(timer);
                stopWaiting();
                resolve();
            };
            signal.addEventListener("abort", finish, { once: true });
        });
    }
}

/** Starts the stand-in on loopback; port 0 picks a free one. */
export async function startPlatform(options: PlatformOptions = {}): Promise<RunningPlatform> {
    const streams = new Streams(() => Date.now(), options.retentionMs ?? dayMs);
    const platform = new FakePlatform(streams, options.vmLagMs ?? 0);
    const server = await new Promise<ServerType>(resolve => {
        const started = serve(
            { fetch: platform.buildApp().fetch, port: options.port ?? 0, hostname: "127.0.0.1" },
            () => resolve(started),
        );
    });
    const port = (server.address() as AddressInfo).port;
    return {
        port,
        url: `http://127.0.0.1:${port}`,
        streams,
        getFaultMode: () => platform.getFaultMode(),
        setFault: fault => platform.setFault({ delayMs: 1_000, ...fault }),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                if ("closeAllConnections" in server) {
                    server.closeAllConnections();
                }
            }),
    };
}
