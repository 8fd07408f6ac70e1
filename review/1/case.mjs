/** An engine resets the channel in the middle of answers that have no length. See claim.txt. */
import { runClient } from "../common/calls.mjs";
import { Engine } from "../common/engine.mjs";
import { createManifest, createRoute } from "../common/manifest.mjs";
import { hasTrouble, list, record, run } from "../common/report.mjs";
import { Routers, sleep } from "../common/routers.mjs";
import { Store } from "../common/store.mjs";

const ip = "127.61.1.1";
const clientCount = 4;
const pauseMs = 20;
const loadMs = 10_000;
const workMs = 10;
/** One of three engines, 20 in 100 of its answers without a length, for 4 s: within what a day of the site file has for `answer_lost`, "reset". */
const faultyEngine = "i-1";
const resetShare = 0.2;
const resetMs = 4_000;
const resetAfterMs = 1_000;
const seats = "seat 1 confirmed; seat 2 confirmed; seat 3 confirmed; seat 4 confirmed";
const routes = [createRoute("confirm"), createRoute("lookup", { type: "idempotent", max_attempts: 2 })];
const paths = ["/confirm/2f", "/lookup/2f"];
const shownLines = 8;
const counts = { empty: 0, unframed: 0, reset: 0 };
/** Answers of the faulty engine without a length while it resets some. */
let faultyAnswers = 0;
let loadStartMs = Number.POSITIVE_INFINITY;
const resetIds = new Set();

/** Answers a confirmation without content, and a look-up with a body that has no length and ends with its channel. */
async function answer({ request, response, arrival }) {
    await sleep(workMs);
    const { socket } = response;
    if (request.url.startsWith("/confirm/")) {
        counts.empty += 1;
        response.writeHead(204).end();
        return;
    }
    counts.unframed += 1;
    const stamp = response.getHeader("X-Lynxarch-Engine-Stamp");
    const head =
        `HTTP/1.1 200 OK\r\nX-Lynxarch-Attempt-Id: ${arrival.id}\r\nX-Lynxarch-Engine-Stamp: ${stamp}\r\n` +
        "Content-Type: text/plain\r\nConnection: close\r\n\r\n";
    if (!takeReset(this.id)) {
        socket.end(head + seats);
        return;
    }
    counts.reset += 1;
    resetIds.add(arrival.id);
    socket.write(head + seats.slice(0, seats.length / 2));
    // A reset without a regular end before it.
    socket._handle.reset(() => socket.destroy());
}

/** Whether this answer is one that the faulty engine resets. */
function takeReset(engineId) {
    const atMs = performance.now() - loadStartMs - resetAfterMs;
    if (!hasTrouble || engineId !== faultyEngine || atMs < 0 || atMs >= resetMs) {
        return false;
    }
    faultyAnswers += 1;
    return counts.reset + 1 <= faultyAnswers * resetShare;
}

async function main() {
    const store = new Store();
    const storeAddress = await store.listen(ip);
    store.write("keyed.op", "config", createManifest(routes));
    const engines = [];
    for (const id of ["i-1", "i-2", "i-3"]) {
        engines.push(await new Engine({ id, service: "app", zone: "zone-a", store, slots: 6, answer }).listen(ip));
    }
    const routers = new Routers(storeAddress);
    try {
        const router = await routers.add("edge-a-1", ip, "zone-a");
        if (!(await routers.waitUntilReady(router))) {
            record("the router did not get ready");
            return 2;
        }
        await sleep(2_000);
        const seen = [];
        loadStartMs = performance.now();
        const untilMs = loadStartMs + loadMs;
        const names = Array.from({ length: clientCount }, (...[, number]) => `client-${number}`);
        const isOver = () => performance.now() >= untilMs;
        await Promise.all(names.map(name => runClient(router, name, paths, isOver, seen, pauseMs)));
        list(
            seen,
            engines.flatMap(engine => engine.arrivals),
        );
        record(
            `${seen.length} requests; answers of the engines: ${JSON.stringify(counts)}, of ${faultyAnswers} of the faulty one in ${resetMs} ms`,
        );
        const statuses = new Map();
        seen.forEach(({ status, error }) => statuses.set(status ?? error, (statuses.get(status ?? error) ?? 0) + 1));
        record(`answers to the clients: ${[...statuses].map(([status, count]) => `${status} ${count}`).join(", ")}`);
        const mixed = seen.filter(
            ({ path, status, text }) => path.startsWith("/lookup/") && status === 200 && text !== seats,
        );
        record(`MIXED: ${mixed.length} successes with a part of the engine's body, complete by their framing`);
        mixed
            .slice(0, shownLines)
            .forEach(({ id, status, text }) =>
                record(`  ${id}, reset on the way: ${resetIds.has(id)}; the client got ${status} "${text}"`),
            );
        return hasTrouble && counts.reset === 0 ? 2 : mixed.length > 0 ? 1 : 0;
    } finally {
        await routers.close();
        engines.forEach(engine => engine.close());
        store.server.close();
        store.server.closeAllConnections();
    }
}

await run(import.meta.url, main);
