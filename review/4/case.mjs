/** A planned stop of a router (SIGTERM) while clients read their answers slowly. See claim.txt. */
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import { Engine } from "../common/engine.mjs";
import { createManifest, createRoute } from "../common/manifest.mjs";
import { hasTrouble, record, run } from "../common/report.mjs";
import { Routers, sleep } from "../common/routers.mjs";
import { Store } from "../common/store.mjs";

const ip = "127.64.1.1";
const clientCount = 6;
/** The site file's longest stream of `table-question`: 120 events of 330 bytes. */
const eventCount = 120;
const eventBytes = 330;
const eventPauseMs = 10;
const budgetMs = 12_000;
const slowBytesPerSecond = 100;
const slowMs = 5_000;
const fastBytesPerSecond = 20_000;
const stopAfterMs = 1_500;
const graceMs = 8_000;

const route = createRoute("calls", {
    type: "streaming",
    timeout_ms: budgetMs,
    goal_ms: 500,
    gap_target_ms: 400,
    service: "engines",
    sticky: true,
});
const services = [
    {
        name: "engines",
        health_path: "/healthz",
        max_conns: 360,
        engine: { slots: 64, kv_capacity: 400_000, kv_bytes: 18_432, link_mbps: 740_000, stride: 5 },
    },
];

async function answer({ response, arrival }) {
    response.writeHead(200, { "Content-Type": "text/event-stream" });
    for (let id = 1; id <= eventCount && !response.destroyed; id++) {
        const head = `id: ${id}\ndata: `;
        response.write(`${head}${"x".repeat(eventBytes - head.length - 2)}\n\n`);
        await sleep(eventPauseMs);
    }
    response.end(() => record(`engine ${this.id} has given ${arrival.id} its whole answer of ${eventCount} events`));
}

/** Runs the clients; resolves to what each of them saw. */
function runClients(port) {
    const file = fileURLToPath(new URL("client.py", import.meta.url));
    const words = [file, ip, port, clientCount, slowBytesPerSecond, slowMs, fastBytesPerSecond, budgetMs].map(String);
    const child = spawn("python3", words, { stdio: ["ignore", "pipe", "inherit"] });
    let output = "";
    child.stdout.on("data", data => (output += data));
    return new Promise((done, fail) => {
        child.once("error", fail);
        child.once("close", () => {
            const lines = output.split("\n").filter(line => line !== "");
            done(lines.map(line => JSON.parse(line)));
        });
    });
}

async function stop(router) {
    record("SIGTERM to the router");
    router.process.kill("SIGTERM");
    const timer = setTimeout(() => router.process.kill("SIGKILL"), graceMs);
    const { code, signal } = await router.exited;
    clearTimeout(timer);
    record(`the router has ended: code ${code}, signal ${signal}`);
}

async function main() {
    const store = new Store();
    const storeAddress = await store.listen(ip);
    store.write("keyed.op", "config", createManifest([route], services));
    const engines = [];
    for (const id of ["i-1", "i-2"]) {
        engines.push(await new Engine({ id, service: "engines", zone: "zone-a", store, answer }).listen(ip));
    }
    const routers = new Routers(storeAddress);
    try {
        const router = await routers.add("edge-a-1", ip, "zone-a");
        if (!(await routers.waitUntilReady(router))) {
            record("the router did not get ready");
            return 2;
        }
        await sleep(3_000);
        record(`${clientCount} clients send a request each and read slowly for ${slowMs} ms`);
        const answers = runClients(router.callersPort);
        await sleep(stopAfterMs);
        if (hasTrouble) {
            void stop(router);
        }
        const seen = await answers;
        seen.forEach(client => record(`client ${JSON.stringify(client)}`));
        const runs = engines.flatMap(engine => engine.arrivals);
        if (seen.some(({ id }) => !runs.some(run => run.id === id && run.isWhole))) {
            record("not all requests have run and been answered whole: the case says nothing");
            return 2;
        }
        const lost = seen.filter(({ end }) => end === "closed" || end.startsWith("reset"));
        record(
            `${lost.length} of ${clientCount} channels ended without the rest of an answer that the router had taken whole`,
        );
        return lost.length > 0 ? 1 : 0;
    } finally {
        await routers.close();
        engines.forEach(engine => engine.close());
        store.server.close();
        store.server.closeAllConnections();
    }
}

await run(import.meta.url, main);
