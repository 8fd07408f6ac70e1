import { createTRPCClient, httpLink, TRPCClientError } from "@trpc/client";
import { ResultAsync } from "neverthrow";
import { Agent, type Dispatcher } from "undici";
import { AbortScope, type CancellationToken } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";
import type { AcceptedDocument } from "../document/schema.js";
import type { ClientShare } from "../fleet/clientShare.js";
import type { ControlRouter } from "./controlApi.js";
import { decodeCounters, encodeCounters } from "./counters.js";
import { ControlError } from "./errors.js";
import type { EventPage, ExchangeReply, ExchangeRequest } from "./host.js";
import type { DaemonStatus, RosterEntry } from "./schemas.js";
import { toAuthorization } from "./secret.js";

const defaultTimeoutMs = 2_000;
/** Codes of connections that were never made: the other side cannot have seen the call. */
const unreachedCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Counts the bytes of control traffic. */
export interface TrafficMeter {
    add(bytes: number): void;
}

/** Calls one daemon's control API. */
export interface ControlClient extends Disposable {
    fetchStatus(token: CancellationToken): ResultAsync<DaemonStatus, ControlError>;
    fetchEvents(sinceSequence: number, token: CancellationToken): ResultAsync<EventPage, ControlError>;
    fetchShares(token: CancellationToken): ResultAsync<readonly ClientShare[], ControlError>;
    fetchDocument(token: CancellationToken): ResultAsync<AcceptedDocument | undefined, ControlError>;
    fetchRoster(token: CancellationToken): ResultAsync<readonly RosterEntry[], ControlError>;
    sendExchange(request: ExchangeRequest, token: CancellationToken): ResultAsync<ExchangeReply, ControlError>;
    /** Whether the agent gave the request back. */
    withdrawWork(requestId: string, token: CancellationToken): ResultAsync<boolean, ControlError>;
}

/** Options of {@link createControlClient}. */
export interface ControlClientOptions {
    /** Host and port of the daemon. */
    readonly address: string;
    readonly secret: string;
    readonly timeoutMs?: number;
    readonly meter?: TrafficMeter;
}

/** Makes a client over HTTP. Dispose it to close its connections. */
export function createControlClient(options: ControlClientOptions): ControlClient {
    return new TrpcControlClient(options);
}

/** The part of a fetch call that the link uses. */
interface HttpCall {
    readonly method: string;
    readonly headers: Record<string, string>;
    readonly body?: string;
    readonly signal?: AbortSignal;
}

/** The part of a fetch response that the link reads. */
interface HttpReply {
    readonly ok: boolean;
    json(): Promise<unknown>;
}

class TrpcControlClient implements ControlClient {
    private readonly connections: Agent;
    private readonly trpc: ReturnType<typeof createTRPCClient<ControlRouter>>;

    public constructor(private readonly options: ControlClientOptions) {
        const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
        this.connections = new Agent({
            connect: { timeout: timeoutMs },
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            connections: 2,
        });
        this.trpc = createTRPCClient<ControlRouter>({
            links: [
                httpLink({
                    url: `http://${options.address}/trpc`,
                    headers: { authorization: toAuthorization(options.secret) },
                    fetch: (url, init) => this.fetch(new URL(url.toString()), init as HttpCall),
                }),
            ],
        });
    }

    public fetchStatus(token: CancellationToken): ResultAsync<DaemonStatus, ControlError> {
        return this.run(signal => this.trpc.status.query(undefined, { signal }), token);
    }

    public fetchEvents(sinceSequence: number, token: CancellationToken): ResultAsync<EventPage, ControlError> {
        return this.run(signal => this.trpc.events.query({ sinceSequence }, { signal }), token);
    }

    public fetchShares(token: CancellationToken): ResultAsync<readonly ClientShare[], ControlError> {
        return this.run(signal => this.trpc.shares.query(undefined, { signal }), token);
    }

    public fetchDocument(token: CancellationToken): ResultAsync<AcceptedDocument | undefined, ControlError> {
        return this.run(signal => this.trpc.document.query(undefined, { signal }), token);
    }

    public fetchRoster(token: CancellationToken): ResultAsync<readonly RosterEntry[], ControlError> {
        return this.run(signal => this.trpc.roster.query(undefined, { signal }), token);
    }

    public sendExchange(request: ExchangeRequest, token: CancellationToken): ResultAsync<ExchangeReply, ControlError> {
        const input = {
            ...request,
            claims: encodeCounters(request.claims),
            document: toMutableDocument(request.document),
        };
        return this.run(async signal => await this.trpc.exchange.mutate(input, { signal }), token).map(reply => ({
            ...reply,
            report: { ...reply.report, counters: decodeCounters(reply.report.counters) },
        }));
    }

    public withdrawWork(requestId: string, token: CancellationToken): ResultAsync<boolean, ControlError> {
        return this.run(signal => this.trpc.withdraw.mutate({ requestId }, { signal }), token);
    }

    public dispose(): void {
        void this.connections.destroy();
    }

    private run<T>(call: (signal: AbortSignal) => Promise<T>, token: CancellationToken): ResultAsync<T, ControlError> {
        const scope = new AbortScope(token, this.options.timeoutMs ?? defaultTimeoutMs);
        return ResultAsync.fromPromise(
            call(scope.signal).finally(() => scope.dispose()),
            cause => toControlError(this.options.address, cause),
        );
    }

    /** A plain request instead of undici's fetch, whose streams cost several times the processor time of the call. */
    private async fetch(url: URL, call: HttpCall): Promise<HttpReply> {
        const response = await this.connections.request({
            origin: url.origin,
            path: url.pathname + url.search,
            method: call.method as Dispatcher.HttpMethod,
            headers: call.headers,
            body: call.body,
            signal: call.signal,
        });
        const text = await response.body.text();
        this.options.meter?.add((call.body?.length ?? 0) + text.length);
        return { ok: response.statusCode < 400, json: async () => JSON.parse(text) as unknown };
    }
}

function toMutableDocument(document: AcceptedDocument | undefined): never {
    // The wire schema's type is mutable, ours is read-only; nothing writes to it.
    return document as never;
}

function toControlError(address: string, cause: unknown): ControlError {
    const root = cause instanceof TRPCClientError ? cause.cause : cause;
    const code = findErrorCode(root);
    const message = cause instanceof Error ? cause.message : String(cause);
    return new ControlError(`${address}: ${message}`, code === undefined || !unreachedCodes.has(code), cause);
}

function findErrorCode(error: unknown): string | undefined {
    let current = error;
    for (let depth = 0; depth < 4 && current instanceof Error; depth++) {
        const { code } = current as { code?: unknown };
        if (typeof code === "string") {
            return code;
        }
        current = current.cause;
    }
    return undefined;
}
