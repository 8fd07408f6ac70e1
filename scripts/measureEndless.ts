/**
 * Processor time and memory of a router while targets answer without end, and what becomes of other callers' requests:
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
    readonly targets: string | number;
    readonly callers: string | number;
    readonly tokens: string;
    readonly shapes: string;
}

/** Targets, callers of each, and the token count that their requests name; "none" for requests without one. */
interface Load {
    readonly targetCount: number;
    readonly callersPerTarget: number;
    readonly tokens: string;
    readonly seconds: number;
}

const startMs = 3_000;
const otherPauseMs = 20;
/** A caller that is refused comes back after a while; without a pause refusals would be all that is measured. */
const endlessPauseMs = 500;
const limits = { memoryMb: 350, maxDescriptors: 4_000 };
const defaultShapes = "event,events,chunked-events,unframed,chunk-extension,interim,tiny-pieces,header";

sade("measure-endless", true)
    .option("--seconds", "how long each shape is played", 10)
    .option("--targets", "number of endless targets", 20)
    .option("--callers", "callers of each endless target", 1)
    .option("--tokens", "tokens of the prompt and of the output that requests name; none: no count", "1000,50")
    .option("--shapes", "shapes of the responses, separated by commas", defaultShapes)
    .action((options: Options) => void run(options))
    .parse(process.argv);

async function run({ seconds, targets, callers, tokens, shapes }: Options): Promise<void> {
    const load = {
        targetCount: Number(targets),
        callersPerTarget: Number(callers),
        tokens,
        seconds: Number(seconds),
    };
    for (const shape of [undefined, ...(shapes.split(",") as EndlessShape[])]) {
        await measureShape(shape, load);
    }
    process.exit(0);
}

async function measureShape(shape: EndlessShape | undefined, load: Load): Promise<void> {
    const { targetCount, callersPerTarget, tokens, seconds } = load;
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
    const disposeAll = (): void => {
        router.kill("SIGKILL");
        servers.forEach(server => server.dispose());
        app.dispose();
        store.dispose();
    };
    let hasExited = false;
    router.once("exit", () => (hasExited = true));
    const endless = [...Array(servers.length * callersPerTarget).keys()].map(async index => {
        while (performance.now() < untilMs && !hasExited) {
            await send(callers, "/once/", `e${index}`, tokens);
            await sleepFor(endlessPauseMs);
        }
    });
    const others: Promise<void>[] = [];
    while (performance.now() < untilMs && !hasExited) {
        sent += 1;
        const startedAtMs = performance.now();
        const answered = send(callers, "/book/", `b${sent}`, tokens).then(isServed => {
            served += isServed ? 1 : 0;
            took.push(performance.now() - startedAtMs);
        });
        others.push(answered);
        await sleepFor(otherPauseMs);
    }
    await Promise.all([...endless, ...others]);
    const label = (shape ?? "none").padEnd(16);
    if (hasExited) {
        process.stdout.write(`${label} the router has exited; others: ${served} of ${sent} served\n`);
        disposeAll();
        return;
    }
    const cpu = (readCpuMs(router) - cpuBefore) / seconds;
    const requests = servers.reduce((sum, server) => sum + server.requests, 0);
    took.sort((a, b) => a - b);
    const slowest = took[Math.floor(took.length * 0.99)] ?? 0;
    process.stdout.write(
        `${label} ${cpu.toFixed(0)} ms of processor a second, peak ${readMemoryMb(router, "VmHWM")} MB; ` +
            `${requests} endless answers; others: ${served} of ${sent} served, 99 of 100 within ${slowest.toFixed(0)} ms\n`,
    );
    disposeAll();
}

function addEntry(store: StoreServer, id: string, service: string, address: string): void {
    store.write("keyed.servers", id, { service, address, zone: "dc-a", slots: 64, state: "ready", seqno: 1 });
}

function send(port: number, path: string, id: string, tokens: string): Promise<boolean> {
    const headers = createPromptHeaders(id, { "x-lynxarch-token-count": tokens });
    if (tokens === "none") {
        delete headers["x-lynxarch-token-count"];
    }
    return sendRequest(port, path, { host, authorization: `Bearer ${key}`, ...headers });
}
