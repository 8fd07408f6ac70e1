/**
 * Processor time of one router per request: a store and engines of our own on loopback, a router as a process of its own,
 * and callers that send a steady rate of streams. `npm run measure:gateway -- --rate 100 --seconds 10`
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { Agent, request as sendHttp } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import sade from "sade";
import { StoreServer } from "../test/fakes/usersPlatform/storeServer.js";
import { TargetServer } from "../test/fakes/usersPlatform/targetServer.js";
import { createConfiguration, createPromptHeaders, host, key } from "../test/gateway/gatewayFixture.js";

interface Options {
    readonly rate: number;
    readonly seconds: number;
    readonly profile?: boolean;
}

const routerEntry = "target/router.mjs";
const ports = { callers: 18_083, readiness: 18_080, control: 18_085, peers: 17_400, metrics: 18_090 };
const targetCount = 6;
const clockTicksPerSecond = 100;
const startMs = 1_000;
const warmUpSeconds = 8;
const bodyBytes = 10_000;

sade("measure-gateway", true)
    .option("--rate", "requests a second", 100)
    .option("--seconds", "length", 10)
    .option("--profile", "write a processor profile of the router")
    .action((options: Options) => void run(options))
    .parse(process.argv);

async function run({ rate, seconds, profile }: Options): Promise<void> {
    const store = new StoreServer();
    await store.start();
    store.write("keyed.op", "config", createConfiguration(1));
    const targets = await startTargets(store);
    const router = startRouter(store.address, profile === true);
    await sleepFor(startMs);
    // The first seconds compile the code; what is asked for is the cost of a router that has run for a while.
    await sendLoad(rate, warmUpSeconds);
    const before = readProcessorMs(router.pid);
    const answered = await sendLoad(rate, seconds);
    const usedMs = readProcessorMs(router.pid) - before;
    process.stdout.write(
        `${answered} answered of ${rate * seconds}; ${(usedMs / (rate * seconds)).toFixed(3)} ms of processor time a request\n`,
    );
    router.kill("SIGTERM");
    await new Promise(resolve => router.once("exit", resolve));
    targets.forEach(target => target.dispose());
    store.dispose();
}

async function startTargets(store: StoreServer): Promise<readonly TargetServer[]> {
    const targets: TargetServer[] = [];
    for (let index = 0; index < targetCount; index++) {
        const target = new TargetServer(`engine-${index}`, true);
        target.eventPauseMs = 20;
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

function startRouter(storeAddress: string, profile: boolean): ReturnType<typeof spawn> {
    const file = join(mkdtempSync(join(tmpdir(), "lynxarch-")), "settings.json");
    const ip = "127.0.0.1";
    writeFileSync(
        file,
        JSON.stringify({
            daemonId: "router-1",
            ip,
            dataCentre: "dc-a",
            callers: `${ip}:${ports.callers}`,
            readiness: `${ip}:${ports.readiness}`,
            control: `${ip}:${ports.control}`,
            peerPorts: [ports.peers, ports.peers],
            seeds: [],
            store: { address: storeAddress },
            limits: { memoryMb: 350, maxDescriptors: 4_000 },
            retryBudget: { slack: 50 },
            coldLimit: { slack: 5 },
            metricsPort: ports.metrics,
        }),
    );
    const flags = profile ? ["--cpu-prof", "--cpu-prof-dir=out"] : [];
    return spawn(process.execPath, [...flags, routerEntry, "--settings", file], {
        stdio: ["ignore", "ignore", "inherit"],
    });
}

async function sendLoad(rate: number, seconds: number): Promise<number> {
    const agent = new Agent({ keepAlive: true, maxSockets: 200 });
    const calls: Promise<boolean>[] = [];
    for (let index = 0; index < rate * seconds; index++) {
        calls.push(sendOne(agent, index));
        await sleepFor(1_000 / rate);
    }
    return (await Promise.all(calls)).filter(Boolean).length;
}

function sendOne(agent: Agent, index: number): Promise<boolean> {
    return new Promise(resolve => {
        const headers = {
            host,
            authorization: `Bearer ${key}`,
            "x-lynxarch-deadline-ms": "6000",
            ...createPromptHeaders(`r-${index}`, { "x-lynxarch-prefix-hash": `${index % 50}:800,own${index}:200` }),
        };
        const options = { agent, host: "127.0.0.1", port: ports.callers, path: "/plan/x", method: "POST", headers };
        const request = sendHttp(options, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode === 200));
            response.on("error", () => resolve(false));
        });
        request.on("error", () => resolve(false));
        request.end(Buffer.alloc(bodyBytes, "x"));
    });
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
