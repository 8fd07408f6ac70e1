/** A zone is evacuated while a router is cut off from the store, and the store comes back from a copy. Not one of the five cases; see REPORT.md. */
import { runClient } from "../common/calls.mjs";
import { Engine } from "../common/engine.mjs";
import { Link } from "../common/link.mjs";
import { createManifest, createRoute } from "../common/manifest.mjs";
import { hasTrouble, list, record, run } from "../common/report.mjs";
import { Routers, sleep } from "../common/routers.mjs";
import { Store } from "../common/store.mjs";

const ips = ["127.66.1.1", "127.66.1.2"];
const workMs = 20;
/** Bounds of the small deployments. */
const evacuateMs = 5_000;
const contactMs = 3_000;
const evacuatedZone = "zone-c";
/** The site file has a `core_cut` of 5.5 s. */
const cutMs = 5_500;
const evacuateAfterMs = 500;
const copyAfterMs = 1_500;
const restoreAfterMs = 4_000;
const storeAwayMs = 300;
const watchMs = 7_000;
/** For requests that are on their way, and for the clocks of this script. */
const slackMs = 50;

async function answer({ response, arrival }) {
    await sleep(workMs);
    response.writeHead(200, { "Content-Type": "text/plain" });
    response.end(`done ${arrival.id}`);
}

async function main() {
    const store = new Store();
    const storeAddress = await store.listen(ips[0]);
    store.write("keyed.op", "config", createManifest([createRoute("confirm")]));
    const engines = [];
    for (const zone of ["zone-a", "zone-b", evacuatedZone]) {
        const engine = new Engine({ id: `i-${zone}`, service: "app", zone, store, slots: 6, answer });
        engines.push(await engine.listen(ips[0]));
    }
    const link = new Link(storeAddress);
    const linkAddress = await link.listen(ips[0]);
    const routers = new Routers(storeAddress);
    const seen = [];
    let isOver = false;
    try {
        const near = await routers.add("edge-a-1", ips[0], "zone-a");
        const cutOff = await routers.add("edge-b-1", ips[1], "zone-b", [ips[0]], { store: { address: linkAddress } });
        if (!(await routers.waitUntilReady(near)) || !(await routers.waitUntilReady(cutOff))) {
            record("the routers did not get ready");
            return 2;
        }
        await sleep(contactMs);
        const clients = [near, cutOff].flatMap(router =>
            [1, 2, 3].map(name => runClient(router, `${router.name}-${name}`, ["/confirm/2f"], () => isOver, seen, 20)),
        );
        const startMs = performance.now();
        const waitUntil = ms => sleep(Math.max(0, startMs + ms - performance.now()));
        if (hasTrouble) {
            record(`${cutOff.name} is cut off from the store`);
            link.cut();
        }
        await waitUntil(evacuateAfterMs);
        store.write("keyed.op", `evacuate/${evacuatedZone}`, { zone: evacuatedZone });
        const ackedAtMs = performance.now();
        record(`the operator evacuates ${evacuatedZone}, acknowledged`);
        await waitUntil(copyAfterMs);
        const copy = store.copy();
        await waitUntil(restoreAfterMs);
        if (hasTrouble) {
            record("the store is away for a moment and comes back from a copy that holds the evacuation");
            await store.restore(copy, storeAwayMs);
        }
        await waitUntil(cutMs);
        link.restore();
        const healedAtMs = performance.now();
        record(hasTrouble ? `${cutOff.name} reaches the store again` : "(no cut)");
        await sleep(watchMs);
        isOver = true;
        await Promise.all(clients);
        list(
            seen,
            engines.flatMap(engine => engine.arrivals),
        );
        const arrivals = engines[2].arrivals;
        let broken = 0;
        for (const router of [near, cutOff]) {
            const wasCut = router === cutOff && hasTrouble;
            const fromMs = Math.max(ackedAtMs + evacuateMs, wasCut ? healedAtMs + contactMs : 0) + slackMs;
            const late = arrivals.filter(({ id, atMs }) => id.startsWith(router.name) && atMs > fromMs);
            const all = seen.filter(({ id }) => id.startsWith(router.name)).length;
            record(
                `${router.name}: ${all} requests; ${late.length} reached ${evacuatedZone} later than ${evacuateMs} ms after the ack` +
                    (wasCut ? ` and ${contactMs} ms after the cut` : ""),
            );
            for (const { id, atMs } of [late[0], late.at(-1)].filter(Boolean)) {
                record(
                    `  ${id}: ${Math.round(atMs - ackedAtMs)} ms after the ack, ${Math.round(atMs - healedAtMs)} ms after the cut`,
                );
            }
            broken += late.length;
        }
        return broken > 0 ? 1 : 0;
    } finally {
        isOver = true;
        await routers.close();
        engines.forEach(engine => engine.close());
        link.close();
        store.server.close();
        store.server.closeAllConnections();
    }
}

await run(import.meta.url, main);
