/**
 * Processor time and memory of a router while twenty targets at once answer without end, and what becomes of other callers' requests:
 * `npm run measure:endless -- --seconds 10`. A router as a process of its own, targets, store and callers of our own on loopback.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { request as sendHttp } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import sade from "sade";
import { EndlessServer, type EndlessShape } from "../test/fakes/usersPlatform/endlessServer.js";
import { StoreServer } from "../test/fakes/usersPlatform/storeServer.js";
import { TargetServer } from "../test/fakes/usersPlatform/targetServer.js";
import { createConfiguration, createPromptHeaders, findFreePort, host, key } from "../test/gateway/gatewayFixture.js";

interface Options {
    readonly seconds: string | number;
}

const program = "target/router.mjs";
const ip = "127.0.0.1";
const targetCount = 20;
const startMs = 3_000;
const otherPauseMs = 20;
/** A caller that is refused comes back after a while; without a pause refusals would be all that is measured. */
const endlessPauseMs = 500;
const tickMs = 10;
const shapes: readonly EndlessShape[] = [
    "event",
    "events",
    "unframed",
    "chunk-extension",
    "interim",
    "tiny-pieces",
    "header",
];

sade("measure-endless", true)
    .option("--seconds", "how long each shape is played", 10)
    .action((options: Options) => void run(Number(options.seconds)))
    .parse(process.argv);

async function run(seconds: number): Promise<void> {
    for (const shape of [undefined, ...shapes]) {
        await measureShape(shape, seconds);
    }
    process.exit(0);
}

async function measureShape(shape: EndlessShape | undefined, seconds: number): Promise<void> {
    const store = new StoreServer();
    await store.start();
    store.write("keyed.op", "config", createConfiguration(1));
    const servers = [...Array(shape === undefined ? 0 : targetCount)].map(() => new EndlessServer(shape!, 0));
    for (const [index, server] of servers.entries()) {
        await server.start();
        addEntry(store, `endless-${index}`, "engines", server.address);
    }
    const app = new TargetServer("app-1", false);
    await app.start();
    addEntry(store, "app-1", "app", app.address);
    const callers = await findFreePort();
    const router = await startRouter(store.address, callers);
    await sleepFor(startMs);
    const cpuBefore = readCpuMs(router);
    const took: number[] = [];
    let served = 0;
    let sent = 0;
    const untilMs = performance.now() + seconds * 1_000;
    const endless = servers.map(async (...[, index]) => {
        while (performance.now() < untilMs) {
            await send(callers, "/once/", `e${index}`);
            await sleepFor(endlessPauseMs);
        }
    });
    const others: Promise<void>[] = [];
    while (performance.now() < untilMs) {
        sent += 1;
        const startedAtMs = performance.now();
        const answered = send(callers, "/book/", `b${sent}`).then(isServed => {
            served += isServed ? 1 : 0;
            took.push(performance.now() - startedAtMs);
        });
        others.push(answered);
        await sleepFor(otherPauseMs);
    }
    await Promise.all([...endless, ...others]);
    const cpu = (readCpuMs(router) - cpuBefore) / seconds;
    const requests = servers.reduce((sum, server) => sum + server.requests, 0);
    took.sort((a, b) => a - b);
    const slowest = took[Math.floor(took.length * 0.99)] ?? 0;
    process.stdout.write(
        `${(shape ?? "none").padEnd(16)} ${cpu.toFixed(0)} ms of processor a second, peak ${readPeakMb(router)} MB; ` +
            `${requests} endless answers; others: ${served} of ${sent} served, 99 of 100 within ${slowest.toFixed(0)} ms\n`,
    );
    router.kill("SIGKILL");
    servers.forEach(server => server.dispose());
    app.dispose();
    store.dispose();
}

function addEntry(store: StoreServer, id: string, service: string, address: string): void {
    store.write("keyed.servers", id, { service, address, zone: "dc-a", slots: 64, state: "ready", seqno: 1 });
}

async function startRouter(storeAddress: string, callers: number): Promise<ChildProcess> {
    const file = join(mkdtempSync(join(tmpdir(), "lynxarch-")), "settings.json");
    const peers = await findFreePort();
    writeFileSync(
        file,
        JSON.stringify({
            daemonId: "router-1",
            ip,
            dataCentre: "dc-a",
            callers: `${ip}:${callers}`,
            readiness: `${ip}:${await findFreePort()}`,
            peerPorts: [peers, peers],
            seeds: [],
            store: { address: storeAddress },
            limits: { memoryMb: 350, maxDescriptors: 4_000 },
            retryBudget: { slack: 50 },
            coldLimit: { slack: 5 },
        }),
    );
    const flags = ["--max-old-space-size=160", "--max-semi-space-size=8"];
    return spawn(process.execPath, [...flags, program, "--settings", file], { stdio: ["ignore", "ignore", "inherit"] });
}

/** Whether the request got a whole success. */
function send(port: number, path: string, id: string): Promise<boolean> {
    return new Promise(resolve => {
        const headers = { host, authorization: `Bearer ${key}`, ...createPromptHeaders(id) };
        const request = sendHttp({ host: ip, port, path, method: "POST", headers, agent: false }, response => {
            response.resume();
            response.on("error", () => undefined);
            response.on("close", () => resolve(response.complete && response.statusCode === 200));
        });
        request.on("error", () => resolve(false));
        request.end("b");
    });
}

/** User and system time so far; a tick is a hundredth of a second. */
function readCpuMs({ pid }: ChildProcess): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
    return (Number(fields[11]) + Number(fields[12])) * tickMs;
}

function readPeakMb({ pid }: ChildProcess): number {
    const kilobytes = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return Math.round(Number(kilobytes) / 1_024);
}

function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
