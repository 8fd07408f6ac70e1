/**
 * Processor time and memory of a router while twenty targets at once answer without end, and what becomes of other callers' requests:
 * `npm run measure:endless -- --seconds 10`. A router as a process of its own, targets, store and callers of our own on loopback.
 */
import sade from "sade";
import { EndlessServer, type EndlessShape } from "../test/fakes/usersPlatform/endlessServer.js";
import { StoreServer } from "../test/fakes/usersPlatform/storeServer.js";
import { TargetServer } from "../test/fakes/usersPlatform/targetServer.js";
import { createConfiguration, createPromptHeaders, findFreePort, host, key } from "../test/gateway/gatewayFixture.js";
import { readCpuMs, readMemoryMb, sendRequest, sleepFor, startRouter } from "./routerProcess.js";

interface Options {
    readonly seconds: string | number;
}

const targetCount = 20;
const startMs = 3_000;
const otherPauseMs = 20;
/** A caller that is refused comes back after a while; without a pause refusals would be all that is measured. */
const endlessPauseMs = 500;
const limits = { memoryMb: 350, maxDescriptors: 4_000 };
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
    const router = await startRouter({ storeAddress: store.address, callers, limits });
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
        `${(shape ?? "none").padEnd(16)} ${cpu.toFixed(0)} ms of processor a second, peak ${readMemoryMb(router, "VmHWM")} MB; ` +
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

function send(port: number, path: string, id: string): Promise<boolean> {
    return sendRequest(port, path, { host, authorization: `Bearer ${key}`, ...createPromptHeaders(id) });
}
