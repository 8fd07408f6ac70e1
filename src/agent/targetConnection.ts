import { Agent, Pool, type Client, type Dispatcher } from "undici";
import { AbortScope, type CancellationToken } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";
import { createResetDetectingClient } from "./resetDetectingClient.js";
import { TargetError, type TargetLoad } from "./targetClient.js";

const connectTimeoutMs = 2_000;
const loadTimeoutMs = 2_000;
/** Statuses by which a live target says that it did not take the request. */
const refusedStatuses = new Set([429, 503]);
/** Codes of connections that were never made: the target cannot have begun the request. */
const unreachedCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Codes of calls to which nothing came in time. */
const silentCodes = new Set(["UND_ERR_CONNECT_TIMEOUT", "call-timed-out"]);

/** HTTP to one target; owns the connections. */
export class TargetConnection implements Disposable {
    private readonly connections = new Agent({
        factory: (origin, options) =>
            new Pool(origin, {
                ...options,
                factory: (target, clientOptions) =>
                    createResetDetectingClient(target, clientOptions as Client.Options, connectTimeoutMs),
            }),
        // A long route rebuild may be silent for minutes; the request's own deadline ends it.
        headersTimeout: 0,
        bodyTimeout: 0,
        // A connection that the target closes while a request is put on it would be retried by nobody: see toTargetError.
        pipelining: 1,
    });

    private readonly origin: string;
    private readonly basePath: string;

    public constructor(baseUrl: string) {
        const url = new URL(baseUrl);
        this.origin = url.origin;
        this.basePath = url.pathname.replace(/\/$/, "");
    }

    /** Sends one request; throws what undici throws. */
    public async send(
        path: string,
        options: { method: string; headers?: Record<string, string>; body?: Buffer | string },
        token: CancellationToken,
    ): Promise<Dispatcher.ResponseData> {
        // The path is a caller's. Resolved as a URL, `//other.host/` would name another host, and a caller could reach
        // whatever the agent can; put together as origin and path it cannot leave the target.
        const scope = new AbortScope(token);
        try {
            const response = await this.connections.request({
                origin: this.origin,
                path: this.basePath + path,
                method: options.method as Dispatcher.HttpMethod,
                headers: options.headers,
                body: options.body,
                signal: scope.signal,
            });
            response.body.once("close", () => scope.dispose());
            return response;
        } catch (cause) {
            scope.dispose();
            throw cause;
        }
    }

    /** Reads `/load`; undefined where the target has none. */
    public async fetchLoad(token: CancellationToken): Promise<TargetLoad | undefined> {
        const scope = new AbortScope(token, loadTimeoutMs);
        try {
            return await this.readLoad(scope.signal);
        } finally {
            scope.dispose();
        }
    }

    public dispose(): void {
        void this.connections.destroy();
    }

    private async readLoad(signal: AbortSignal): Promise<TargetLoad | undefined> {
        const path = `${this.basePath}/load`;
        const response = await this.connections.request({ origin: this.origin, path, method: "GET", signal });
        if (response.statusCode !== 200) {
            await response.body.dump();
            return undefined;
        }
        const load = (await response.body.json()) as Partial<TargetLoad>;
        if (typeof load.running !== "number") {
            return undefined;
        }
        return { running: load.running, waiting: load.waiting ?? 0, cold: load.cold ?? false };
    }
}

/** Whether a status means that the target is alive and did not take the request. */
export function isRefusal(status: number): boolean {
    return refusedStatuses.has(status);
}

/** Whether a call failed only because nothing came in time; the target may be sound and go on. */
export function isSilence({ cause }: TargetError): boolean {
    return silentCodes.has((cause as { code?: string } | undefined)?.code ?? "");
}

/** Turns what a connection throws into this layer's error. */
export function toTargetError(cause: unknown, hasOutput: boolean): TargetError {
    if (cause instanceof TargetError) {
        return cause;
    }
    const { code, message } = cause as { code?: string; message?: string };
    const unreached = !hasOutput && code !== undefined && unreachedCodes.has(code);
    return new TargetError(message ?? String(cause), unreached ? "not-run" : "unknown", "broken", cause);
}
