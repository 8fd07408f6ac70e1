/**
 * Processor time of routers per request that they serve, refuse as over its account's share, or shed, and without any: a store and
 * engines of our own on loopback, routers as processes of their own, and callers that send a steady rate of streams.
 * `npm run measure:gateway -- --rate 100 --seconds 10`
 */
import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { Agent, request as sendHttp } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import sade from "sade";
import { StoreServer } from "../test/fakes/usersPlatform/storeServer.js";
import { TargetServer } from "../test/fakes/usersPlatform/targetServer.js";
import { createConfiguration, createPromptHeaders, host, key } from "../test/gateway/gatewayFixture.js";

interface Options {
    /** Requests a second to each router. */
    readonly rate: number;
    readonly seconds: number;
    readonly routers: number;
    readonly targets: number;
    readonly accounts: number;
    /** Part of the requests that come on a connection of their own. */
    readonly fresh: number;
    readonly only?: string;
    readonly profile?: boolean;
}

/** A load under which nearly all requests end in one way. */
interface Load {
    readonly name: string;
    /** Part of the requests that the routers shed. */
    readonly shed: number;
    readonly promptTokens: number;
    /** Pause of the engines before each event. */
    readonly eventPauseMs: number;
    /** What the accounts may have; tokens a second. */
    readonly sharedTokens: number;
}

const loads: readonly Load[] = [
    { name: "served", shed: 0, promptTokens: 1_000, eventPauseMs: 20, sharedTokens: 100_000_000 },
    { name: "over share", shed: 0, promptTokens: 60_000, eventPauseMs: 800, sharedTokens: 1_000 },
    { name: "shed", shed: 1, promptTokens: 1_000, eventPauseMs: 20, sharedTokens: 100_000_000 },
];
const program = "target/measuredRouter.cjs";
const ports = { callers: 18_083, readiness: 18_080, control: 18_085, peers: 17_400, metrics: 18_090 };
const clockTicksPerSecond = 100;
const startMs = 4_000;
const idleMs = 4_000;
const warmUpSeconds = 8;
const bodyBytes = 10_000;
const sharedPart = 0.8;

sade("measure-gateway", true)
    .option("--rate", "requests a second to each router", 100)
    .option("--seconds", "length", 10)
    .option("--routers", "routers of the fleet", 1)
    .option("--targets", "engines", 6)
    .option("--accounts", "client accounts", 1)
    .option("--fresh", "part of the requests on new connections", 0)
    .option("--only", "one load: served, over share or shed")
    .option("--profile", "write processor profiles of the routers")
    .action((options: Options) => void run(options))
    .parse(process.argv);

async function run(options: Options): Promise<void> {
    for (const load of loads.filter(({ name }) => options.only === undefined || options.only === name)) {
        await measureLoad(load, options);
    }
    process.exit(0);
}

async function measureLoad(load: Load, options: Options): Promise<void> {
    const store = new StoreServer();
    await store.start();
    const tenants = Array.from({ length: options.accounts }, (...[, index]) => ({
        name: `account-${index}`,
        api_keys: [`${key}-${index}`],
    }));
    const { limits } = createConfiguration(1) as { readonly limits: object };
    store.write(
        "keyed.op",
        "config",
        createConfiguration(1, { tenants, limits: { ...limits, tokens_per_s: load.sharedTokens } }),
    );
    const targets = await startTargets(store, load, options.targets);
    const routers = Array.from({ length: options.routers }, (...[, index]) =>
        startRouter(index, store.address, load, options),
    );
    await sleepFor(startMs);
    const idleFrom = readAllMs(routers);
    await sleepFor(idleMs);
    const idleUsedMs = ((readAllMs(routers) - idleFrom) * 1_000) / idleMs / routers.length;
    // The first seconds compile the code; what is asked for is the cost of a router that has run for a while.
    await sendLoad(load, options, warmUpSeconds);
    const before = readAllMs(routers);
    const counts = await sendLoad(load, options, options.seconds);
    const usedMs = readAllMs(routers) - before;
    const sent = options.rate * options.seconds * options.routers;
    const ends = [...counts].map(([end, count]) => `${count} ${end}`).join(", ");
    process.stdout.write(
        `${load.name}: ${(usedMs / sent).toFixed(3)} ms of processor time a request (${ends}); ` +
            `${idleUsedMs.toFixed(1)} ms a second without requests\n`,
    );
    for (const router of routers) {
        router.kill("SIGTERM");
        await new Promise(resolve => router.once("exit", resolve));
    }
    targets.forEach(target => target.dispose());
    store.dispose();
}

async function startTargets(store: StoreServer, load: Load, count: number): Promise<readonly TargetServer[]> {
    const targets: TargetServer[] = [];
    for (let index = 0; index < count; index++) {
        const target = new TargetServer(`engine-${index}`, true);
        target.eventPauseMs = load.eventPauseMs;
        await target.start();
        store.write("keyed.servers", target.instanceId, {
            service: "engines",
            address: target.address,
            zone: "dc-a",
            slots: 64,
            state: "ready",
        });
        targets.push(target);
    }
    return targets;
}

function startRouter(index: number, storeAddress: string, load: Load, { profile }: Options): ChildProcess {
    const file = join(mkdtempSync(join(tmpdir(), "lynxarch-")), "settings.json");
    const ip = formatIp(index);
    writeFileSync(
        file,
        JSON.stringify({
            daemonId: `router-${index}`,
            ip,
            dataCentre: "dc-a",
            callers: `${ip}:${ports.callers}`,
            readiness: `${ip}:${ports.readiness}`,
            control: `${ip}:${ports.control}`,
            peerPorts: [ports.peers, ports.peers],
            seeds: [`${formatIp(0)}:${ports.control}`],
            store: { address: storeAddress },
            limits: { memoryMb: 350, maxDescriptors: 4_000 },
            retryBudget: { slack: 50 },
            coldLimit: { slack: 5 },
            metricsPort: ports.metrics,
        }),
    );
    const flags = ["--max-old-space-size=160", "--max-semi-space-size=8"];
    const profileFlags = profile === true ? ["--cpu-prof", "--cpu-prof-interval=500", "--cpu-prof-dir=out"] : [];
    const options = ["--settings", file, "--shed", String(load.shed)];
    return spawn(process.execPath, [...flags, ...profileFlags, program, ...options], {
        stdio: ["ignore", "ignore", "inherit"],
    });
}

/** How many requests ended how. */
async function sendLoad(load: Load, options: Options, seconds: number): Promise<ReadonlyMap<string, number>> {
    const agent = new Agent({ keepAlive: true, maxSockets: 200 });
    const calls: Promise<string>[] = [];
    const count = options.rate * options.routers * seconds;
    const startedAtMs = performance.now();
    for (let index = 0; index < count; index++) {
        calls.push(sendOne(load, options, agent, index));
        // Timers are late by part of a millisecond each; the rate is kept all the same.
        const dueInMs = startedAtMs + ((index + 1) * seconds * 1_000) / count - performance.now();
        if (dueInMs > 1) {
            await sleepFor(dueInMs);
        }
    }
    const counts = new Map<string, number>();
    for (const end of await Promise.all(calls)) {
        counts.set(end, (counts.get(end) ?? 0) + 1);
    }
    agent.destroy();
    return counts;
}

function sendOne(load: Load, options: Options, agent: Agent, index: number): Promise<string> {
    const { promptTokens } = load;
    const shared = Math.round(promptTokens * sharedPart);
    return new Promise(resolve => {
        const headers = {
            host,
            authorization: `Bearer ${key}-${index % options.accounts}`,
            "x-lynxarch-deadline-ms": "6000",
            ...createPromptHeaders(`r-${index}`, {
                "x-lynxarch-token-count": `${promptTokens},50`,
                "x-lynxarch-prefix-hash": `${index % 50}:${shared},own${index}:${promptTokens - shared}`,
            }),
        };
        const request = sendHttp(
            {
                agent: (index % 100) / 100 < options.fresh ? false : agent,
                host: formatIp(index % options.routers),
                port: ports.callers,
                path: "/plan/x",
                method: "POST",
                headers,
            },
            response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("end", () => resolve(describeEnd(response.statusCode, Buffer.concat(chunks).toString())));
                response.on("error", () => resolve("broken"));
            },
        );
        request.on("error", () => resolve("failed"));
        request.end(Buffer.alloc(bodyBytes, "x"));
    });
}

/** "served", or the code of the router's own answer. */
function describeEnd(status: number | undefined, body: string): string {
    return status === 200 ? "served" : (/"code":"([^"]*)"/.exec(body)?.[1] ?? String(status));
}

function formatIp(router: number): string {
    return `127.0.0.${router + 1}`;
}

function readAllMs(routers: readonly ChildProcess[]): number {
    return routers.reduce((sum, router) => sum + readProcessorMs(router.pid), 0);
}

/** User and system time of a process; milliseconds (proc(5), fields 14 and 15 of stat). */
function readProcessorMs(pid: number | undefined): number {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return ((Number(fields[11]) + Number(fields[12])) * 1_000) / clockTicksPerSecond;
}

function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
