import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import { request as sendHttp, type Agent, type IncomingHttpHeaders } from "node:http";
import { SystemClock, type Clock } from "../../src/base/clock.js";
import { NoopLogger } from "../../src/base/log.js";
import { SeededRandom } from "../../src/base/random.js";
import { sleepOnTimer } from "../../src/base/sleep.js";
import type { LoadSource } from "../../src/gateway/loadMonitor.js";
import { GatewayDaemon } from "../../src/gateway/gatewayDaemon.js";
import { gatewaySettingsSchema, type GatewaySettings } from "../../src/gateway/settings.js";
import type { HeaderCodec } from "../../src/gateway/wire.js";
import { HttpEngineInspector } from "../../platform/httpEngineInspector.js";
import { PlatformHeaders } from "../../platform/headers.js";
import { StoreClient } from "../../platform/storeClient.js";
import { StoreFeed } from "../../platform/storeFeed.js";
import { selectPortBlock } from "../fakes/portBlock.js";
import { StoreServer } from "../fakes/usersPlatform/storeServer.js";
import { TargetServer } from "../fakes/usersPlatform/targetServer.js";

/** A response as its caller received it. */
export interface CallerResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** The connection was closed before the end of the response. */
    readonly isIncomplete: boolean;
}

/** A caller's request. */
export interface CallerRequest {
    readonly path: string;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Sends the body with chunked transfer encoding, without a content length. */
    readonly isChunked?: boolean;
    /** Closes the connection after this time; milliseconds. */
    readonly disconnectAfterMs?: number;
    /** Closes the connection once the response has this many events. */
    readonly disconnectAfterEvents?: number;
    /** Keeps connections between requests; without it each request has its own connection. */
    readonly agent?: Agent;
}

/** Host name of all routes of the test configuration. */
export const host = "fleet.example";
/** API key of the client account of the test configuration. */
export const key = "key-of-north";
const seed = 7;
/** A constant load of 0, so that the load of the test machine does not affect the routers' decisions. */
export const idleLoad: LoadSource = {
    shedShare: 0,
    shouldLeaveBalancer: false,
    loop: { delayMs: 0, utilization: 0, recentUtilization: 0 },
    start: () => undefined,
    dispose: () => undefined,
};
const readinessPath = "/api/readyz";
const deadlineMs = "8000";

/** The configuration of most tests, in the platform's format. */
export function createConfiguration(version: number, changes: object = {}): Record<string, unknown> {
    const model = { host, type: "streaming", timeout_ms: 8_000, goal_ms: 4_000, service: "engines", sticky: true };
    const plain = { host, timeout_ms: 4_000, goal_ms: 3_000, service: "app", public: true };
    return {
        version,
        routes: [
            { ...model, name: "r-plan", path_prefix: "/plan/", max_attempts: 2, resumable: true, gap_target_ms: 4_000 },
            { ...model, name: "r-once", path_prefix: "/once/", max_attempts: 1, resumable: false, gap_target_ms: 600 },
            { ...plain, name: "r-book", path_prefix: "/book/", type: "non_idempotent", max_attempts: 1 },
            { ...plain, name: "r-find", path_prefix: "/find/", type: "idempotent", max_attempts: 2 },
        ],
        services: [
            {
                name: "engines",
                max_conns: 100,
                cold_start_s: 3,
                cold_per_s: 6,
                engine: { slots: 8, kv_capacity: 100_000 },
            },
            { name: "app", max_conns: 50 },
        ],
        limits: { max_body_bytes: 100_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, tokens_per_s: 350_000 },
        tenants: [{ name: "north", api_keys: [key] }],
        ...changes,
    };
}

/** A store, targets and routers on loopback addresses. */
export class GatewayFixture {
    public readonly store = new StoreServer();
    public readonly targets: TargetServer[] = [];
    public readonly routers: { daemon: GatewayDaemon; settings: GatewaySettings }[] = [];
    /** Codec of the routers that are added from now on. */
    public codec: HeaderCodec = new PlatformHeaders();
    private peerPort = 0;
    private controlPort = 0;

    /** `clock`: of all routers; a test whose verdict depends on measured times uses a fake one. */
    public constructor(private readonly clock: Clock = new SystemClock()) {}

    public async start(configuration: object = createConfiguration(1)): Promise<void> {
        await this.store.start();
        this.store.write("keyed.op", "config", configuration);
        this.peerPort = await findFreePort();
        this.controlPort = await findFreePort();
    }

    public async addTarget(service: "engines" | "app", id: string, changes: object = {}): Promise<TargetServer> {
        const target = new TargetServer(id, service === "engines");
        await target.start();
        this.targets.push(target);
        this.addEntry(target, service, changes);
        return target;
    }

    public addEntry(target: TargetServer, service: "engines" | "app", changes: object = {}): void {
        this.store.write("keyed.servers", target.instanceId, {
            service,
            address: target.address,
            zone: "dc-a",
            version: "v1",
            slots: 8,
            state: "ready",
            cold_left_ms: 0,
            seqno: 1,
            born: 1_700_000_000_000,
            ...changes,
        });
    }

    /** Starts a router on a separate loopback address and waits until it is ready. */
    public async addRouter(changes: object = {}, mustBeReady = true, load = idleLoad): Promise<GatewayDaemon> {
        const ip = `127.0.0.${this.routers.length + 1}`;
        const settings = gatewaySettingsSchema.parse({
            daemonId: `router-${this.routers.length + 1}`,
            ip,
            dataCentre: "dc-a",
            callers: `${ip}:${await findFreePort()}`,
            readiness: `${ip}:${await findFreePort()}`,
            control: `${ip}:${this.controlPort}`,
            peerPorts: [this.peerPort, this.peerPort],
            seeds: this.routers.map(router => router.settings.control),
            store: { address: this.store.address },
            limits: { memoryMb: 350, maxDescriptors: 1_000 },
            retryBudget: { ratio: 0.2, windowSeconds: 10, slack: 54 },
            coldLimit: { overage: 1.5, slack: 5 },
            stopGraceSeconds: 8,
            connectTimeoutMs: 10_000,
            // Targets are read every 200 ms, so that the pauses of the tests cover several reads.
            drainMs: 500,
            ...changes,
        });
        const { clock } = this;
        const random = new SeededRandom(seed);
        const logger = new NoopLogger();
        const { drainMs, contactMs, applyMs, heartbeatMs } = settings;
        const { address } = settings.store;
        const source = new StoreFeed({
            client: new StoreClient(address),
            clock,
            random,
            sleep: sleepOnTimer,
            logger,
            drainMs,
            contactMs,
            applyMs,
            heartbeatMs,
        });
        const { codec } = this;
        const engines = new HttpEngineInspector(clock);
        const daemon = new GatewayDaemon({
            settings,
            clock,
            random,
            logger,
            codec,
            source,
            engines,
            load,
            readinessPath,
        });
        await daemon.start();
        this.routers.push({ daemon, settings });
        if (mustBeReady) {
            await waitUntil(() => daemon.isReady);
        }
        return daemon;
    }

    /** Sends a caller's request to a router; by default the first one. */
    public send(call: CallerRequest, router = 0): Promise<CallerResponse> {
        const [address, port] = this.routers[router].settings.callers.split(":");
        return new Promise((resolve, reject) => {
            const request = sendHttp(
                {
                    host: address,
                    port: Number(port),
                    path: call.path,
                    method: call.method ?? "POST",
                    ...(call.agent === undefined ? {} : { agent: call.agent }),
                    headers: {
                        host,
                        authorization: `Bearer ${key}`,
                        "x-lynxarch-deadline-ms": deadlineMs,
                        ...call.headers,
                    },
                },
                response => {
                    const chunks: Buffer[] = [];
                    response.on("data", (chunk: Buffer) => {
                        chunks.push(chunk);
                        if (countEvents(chunks) >= (call.disconnectAfterEvents ?? Infinity)) {
                            response.destroy();
                        }
                    });
                    response.on("error", () => undefined);
                    response.on("close", () =>
                        resolve({
                            status: response.statusCode ?? 0,
                            headers: response.headers,
                            body: Buffer.concat(chunks).toString(),
                            isIncomplete: !response.complete,
                        }),
                    );
                },
            );
            request.on("error", reject);
            if (call.isChunked === true) {
                request.write(call.body);
                request.end();
            } else {
                request.end(call.body);
            }
            if (call.disconnectAfterMs !== undefined) {
                setTimeout(() => request.destroy(new Error("disconnected")), call.disconnectAfterMs);
            }
        });
    }

    public dispose(): void {
        for (const { daemon } of this.routers) {
            daemon.dispose();
        }
        for (const target of this.targets) {
            target.dispose();
        }
        this.store.dispose();
    }
}

/** Headers of a request for a model engine. */
export function createPromptHeaders(id: string, changes: Record<string, string> = {}): Record<string, string> {
    return {
        "x-lynxarch-attempt-id": id,
        "x-lynxarch-model": "m",
        "x-lynxarch-token-count": "1000,50",
        "x-lynxarch-prefix-hash": "aa:800,bb:200",
        ...changes,
    };
}

function countEvents(chunks: readonly Buffer[]): number {
    return Buffer.concat(chunks).toString().split("\n\n").length - 1;
}

/** Waits until a condition is true, or until the test's time-out. */
export async function waitUntil(check: () => boolean | Promise<boolean>): Promise<void> {
    while (!(await check())) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

/**
 * Ports of this process. They lie below the system's range for outgoing connections; otherwise a connection could take a port between
 * its selection and the call that listens on it.
 */
const { firstPort, count: portCount } = selectPortBlock(10_000, 10_000);
let nextPortIndex = 0;

/** Returns a port that is free now and was not recently returned in this process. */
export async function findFreePort(): Promise<number> {
    for (;;) {
        const port = firstPort + (nextPortIndex++ % portCount);
        if ((await canListen(port)) && (await canBind(port))) {
            return port;
        }
    }
}

function canListen(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** Whether a UDP socket can be bound to the port; routers exchange datagrams. */
function canBind(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = createSocket("udp4");
        socket.once("error", () => resolve(false));
        socket.bind(port, "127.0.0.1", () => socket.close(() => resolve(true)));
    });
}
