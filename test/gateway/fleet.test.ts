import { Agent } from "node:http";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import {
    createConfiguration,
    createPromptHeaders,
    findFreePort,
    GatewayFixture,
    host,
    waitUntil,
} from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

/** Status of an idempotent request, which has no side effects. */
async function fetchStatus(path = "/find/x", headers: Record<string, string> = {}, router = 0): Promise<number> {
    const all = { "x-lynxarch-attempt-id": "a1", ...headers };
    return (await fixture.current.send({ path, method: "GET", headers: all }, router)).status;
}

describe("the configuration", () => {
    it("is in force with the next request after its record, and a removed key is not accepted", async () => {
        await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter();
        const before = await fetchStatus("/plan/x", createPromptHeaders("a1"));
        fixture.current.store.write("keyed.op", "config", createConfiguration(2, { tenants: [] }));
        fixture.current.store.write(
            "keyed.op",
            "config",
            createConfiguration(5, { tenants: [{ name: "x", api_keys: [] }] }),
        );
        await waitUntil(async () => (await fetchStatus("/plan/x", createPromptHeaders("a1"))) === 401);
        expect(before).toBe(200);
        expect(await fetchStatus("/nowhere/")).toBe(404);
    });

    // An older record may be read after a newer one: applying the last record read would restore a route that the operators have removed.
    it("never reverts to an older version, whatever is read later", async () => {
        await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter();
        const kept = createConfiguration(7).routes as { readonly name: string }[];
        const without = kept.filter(route => route.name !== "r-find");
        fixture.current.store.write("keyed.op", "config", createConfiguration(8, { routes: without }));
        await waitUntil(async () => (await fetchStatus()) === 404);
        fixture.current.store.write("keyed.op", "config", createConfiguration(7));
        fixture.current.store.write("keyed.op", "evacuate/nowhere", {});
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(await fetchStatus()).toBe(404);
    });

    it.each(["no JSON", { version: "seven" }, { version: 9, routes: [{ host }] }])(
        "is ignored if it is invalid (%j)",
        async record => {
            await fixture.current.addTarget("app", "app-1");
            await fixture.current.addRouter();
            fixture.current.store.write("keyed.op", "config", record);
            await new Promise(resolve => setTimeout(resolve, 100));
            expect(await fetchStatus()).toBe(200);
        },
    );

    // The store drops its history while changes are made. A reader that requests the missed changes receives an error and must read all
    // keys again, including those that were removed in the meantime.
    it("is read again when the store has dropped its history", async () => {
        await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter();
        const { store } = fixture.current;
        store.pageSize = 1;
        store.condition = "reset";
        await new Promise(resolve => setTimeout(resolve, 200));
        const moved = await fixture.current.addTarget("app", "app-2");
        store.write("keyed.servers", "app-1", undefined);
        store.removeHistory("keyed.servers");
        store.removeHistory("keyed.op");
        store.condition = "up";
        await waitUntil(async () => {
            await fetchStatus();
            return moved.ran.length > 0;
        });
        expect(moved.ran.length).toBeGreaterThan(0);
    });
});

describe("targets", () => {
    // Requests sent to a draining target after the time limit would be aborted when the target ends.
    it("that are leaving receive no more requests", async () => {
        const leaving = await fixture.current.addTarget("app", "app-1");
        const staying = await fixture.current.addTarget("app", "app-2");
        await fixture.current.addRouter();
        fixture.current.addEntry(leaving, "app", { state: "draining" });
        await new Promise(resolve => setTimeout(resolve, 700));
        leaving.received.length = 0;
        for (let index = 0; index < 6; index++) {
            expect(await fetchStatus()).toBe(200);
        }
        expect([leaving.received.length, staying.received.length >= 6]).toEqual([0, true]);
    });

    it("in a data centre that is out of service receive nothing, and count as cold when it returns", async () => {
        const target = await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter();
        fixture.current.store.write("keyed.op", "evacuate/dc-a", {});
        await waitUntil(async () => (await fetchStatus()) === 503);
        target.received.length = 0;
        expect(await fetchStatus()).toBe(503);
        expect(target.received.length).toBe(0);
        fixture.current.store.write("keyed.op", "evacuate/dc-a", undefined);
        await waitUntil(async () => (await fetchStatus()) === 200);
    });

    // The address of a target that has ended was reassigned to another target. The new owner rejects the request without executing it,
    // and the request is sent to a target of its own service.
    it("whose address belongs to another target are removed, and the request is sent elsewhere", async () => {
        const moved = await fixture.current.addTarget("app", "app-1");
        const other = await fixture.current.addTarget("app", "app-2");
        await fixture.current.addRouter();
        moved.instanceId = "somebody-else";
        const statuses = [];
        for (let index = 0; index < 6; index++) {
            statuses.push(await fetchStatus("/book/x"));
        }
        expect(statuses).toEqual([200, 200, 200, 200, 200, 200]);
        expect([moved.ran.length, other.ran.length, moved.received.length <= 1]).toEqual([0, 6, true]);
    });

    it.each(["\u0000", { service: 7 }, { service: "app", address: "nowhere" }])(
        "with invalid entries are ignored, and the other targets remain (%j)",
        async entry => {
            const target = await fixture.current.addTarget("app", "app-1");
            await fixture.current.addRouter();
            fixture.current.store.write("keyed.servers", "app-9", entry);
            await new Promise(resolve => setTimeout(resolve, 500));
            expect(await fetchStatus()).toBe(200);
            expect(target.ran.length).toBe(1);
        },
    );

    // Entries expire while the store is unavailable although their targets are running. If targets were removed at once, the service
    // would have no target until their entries are written again.
    it("whose entries expire while the store is unavailable are kept until the entries are written again", async () => {
        await fixture.current.addTarget("app", "app-1");
        const metricsPort = await findFreePort();
        await fixture.current.addRouter({ metricsPort });
        fixture.current.store.condition = "busy";
        // A pending long poll continues; only a refused call shows the router that the store is unavailable.
        await waitUntil(() => fixture.current.store.refused >= 2);
        fixture.current.store.write("keyed.servers", "app-1", undefined);
        fixture.current.store.condition = "up";
        await waitUntil(async () => (await fetchRemovedForMs(metricsPort)) >= 500);
        expect(await fetchStatus()).toBe(200);
    });
});

/** For how long the first target's record has been removed, as the first router sees it; milliseconds, -1 while it is present. */
async function fetchRemovedForMs(metricsPort: number): Promise<number> {
    const response = await fetch(`http://${fixture.current.routers[0].settings.ip}:${metricsPort}/state`);
    const { targets } = (await response.json()) as { targets: readonly { recordRemovedForMs?: number }[] };
    return targets[0].recordRemovedForMs ?? -1;
}

describe("a router that starts", () => {
    // Engines have long shared parts cached from before the router was restarted. A router that does not fetch the lists of cached parts
    // sends each prompt to the target preferred by the part's hash, which may be any engine, and the part is prefilled there again.
    it("fetches the engines' cached parts and sends prompts there", async () => {
        const engines: TargetServer[] = [];
        for (let index = 0; index < 4; index++) {
            engines.push(await fixture.current.addTarget("engines", `engine-${index}`));
        }
        const keys = ["p0", "p1", "p2", "p3"];
        keys.forEach((id, index) => (engines[index].heldParts = [[id, 5_000]]));
        await fixture.current.addRouter();
        await new Promise(resolve => setTimeout(resolve, 200));
        for (const id of keys) {
            const changes = {
                "x-lynxarch-prefix-hash": `${id}:5000,own-${id}:100`,
                "x-lynxarch-token-count": "5100,10",
            };
            await fetchStatus("/plan/x", createPromptHeaders(`a-${id}`, changes));
        }
        expect(engines.map(engine => engine.ran.map(request => request.id))).toEqual([
            ["a-p0"],
            ["a-p1"],
            ["a-p2"],
            ["a-p3"],
        ]);
    });

    it("fetches the records from a peer while the store is unavailable", async () => {
        await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter();
        fixture.current.store.condition = "silent";
        await fixture.current.addRouter();
        expect(await fetchStatus("/find/x", {}, 1)).toBe(200);
    });

    // The router has no routes yet. A 404 would make callers give up permanently; a 503 with Retry-After makes them retry.
    it("without any configuration tells callers to retry", async () => {
        fixture.current.store.condition = "busy";
        const daemon = await fixture.current.addRouter({}, false);
        const response = await fixture.current.send({ path: "/find/x", method: "GET" });
        expect([response.status, response.headers["retry-after"], daemon.isReady]).toEqual([503, "0.50", false]);
    });
});

describe("a router under load", () => {
    // Chunked bodies announce no length, but the memory for bodies is limited. A request that exceeds the remaining memory is refused with
    // Retry-After, and no part of it reaches a target.
    it("accepts chunked bodies only within the memory limit", async () => {
        const target = await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter({ limits: { memoryMb: 0.1, maxDescriptors: 1_000 } });
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const call = { path: "/book/x", headers, isChunked: true };
        const large = await fixture.current.send({ ...call, body: "x".repeat(60_000) });
        const small = await fixture.current.send({ ...call, body: "x".repeat(1_000) });
        expect([large.status, large.headers["retry-after"], small.status]).toEqual([503, "0.50", 200]);
        expect(target.received.map(request => request.body.length)).toEqual([1_000]);
    });

    it("refuses a request without an attempt id, permanently", async () => {
        const target = await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter();
        const response = await fixture.current.send({ path: "/find/x", method: "GET" });
        expect([response.status, target.received.length]).toEqual([400, 0]);
    });

    // An engine rejects requests as full, so none of them is executed. If they were counted as served, the account would soon appear to
    // have used its fair share, and would be refused in favour of others although it received nothing.
    it("does not count a request as served that no target executed", async () => {
        const engine = await fixture.current.addTarget("engines", "engine-1");
        const metricsPort = await findFreePort();
        await fixture.current.addRouter({ metricsPort });
        engine.usual = "shed";
        const statuses = [];
        for (let index = 0; index < 3; index++) {
            statuses.push(await fetchStatus("/once/x", createPromptHeaders(`a${index}`)));
        }
        const state = (await (await fetch(`http://127.0.0.1:${metricsPort}/state`)).json()) as {
            readonly accounts: Readonly<Record<string, { readonly asked: number; readonly served: number }>>;
        };
        expect(statuses).toEqual([503, 503, 503]);
        expect(state.accounts.north).toEqual({ asked: 3_300, served: 0, recentlyServed: 0 });
    });

    // One account overloads a router: its refused callers retry on new connections and leave the old ones idle. At the connection limit,
    // the next caller of any account would be reset unread, so responses close connections well below the limit.
    it("closes connections with their responses before the connection limit is reached", async () => {
        await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter({ limits: { memoryMb: 350, maxDescriptors: 40 } });
        const agent = new Agent({ keepAlive: true });
        const responses = await Promise.all(
            Array.from({ length: 18 }, (...[, index]) =>
                fixture.current.send({
                    path: "/find/x",
                    method: "GET",
                    headers: { "x-lynxarch-attempt-id": `a${index}` },
                    agent,
                }),
            ),
        );
        const later = await fixture.current.send({
            path: "/find/x",
            method: "GET",
            headers: { "x-lynxarch-attempt-id": "b1" },
            agent,
        });
        agent.destroy();
        const ended = responses.filter(response => response.headers.connection === "close").length;
        expect([ended > 0, later.status]).toEqual([true, 200]);
    });
});

describe("engines that copy from one another", () => {
    // The engine that has a prompt's shared part cached has no free slot. The other engine is instructed to copy the part from it, which is
    // faster than prefilling it again. A copy source set by the caller is not forwarded.
    it("receive the address of the engine that has the shared part cached", async () => {
        const model = { name: "engines", max_conns: 100, cold_start_s: 3, cold_per_s: 6 };
        const engine = { slots: 8, kv_capacity: 100_000, kv_bytes: 20_000, link_mbps: 400_000 };
        const changes = {
            services: [
                { ...model, engine },
                { name: "app", max_conns: 50 },
            ],
        };
        fixture.current.store.write("keyed.op", "config", createConfiguration(2, changes));
        const holder = await fixture.current.addTarget("engines", "engine-1", { slots: 1 });
        const other = await fixture.current.addTarget("engines", "engine-2");
        holder.heldParts = [["aa", 800]];
        holder.eventPauseMs = 200;
        const metricsPort = await findFreePort();
        await fixture.current.addRouter({ metricsPort });
        const forged = { "kv-fetch": "203.0.113.9:80" };
        const open = fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a1", forged) });
        await waitUntil(() => holder.received.length > 0);
        await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a2", forged) });
        await open;
        const fetched = [...holder.received, ...other.received].map(request => request.headers["kv-fetch"]);
        expect(fetched).toEqual([undefined, holder.address]);
        const metrics = await (await fetch(`http://127.0.0.1:${metricsPort}/metrics`)).text();
        expect(metrics).toContain('lynxarch_prompt_tokens_total{service="engines",source="copied"} 800');
        expect(metrics).toContain('lynxarch_answers_total{service="engines",timeliness="in-time"} 2');
        expect(metrics).toContain('lynxarch_placements_total{service="engines",data_centre="own"} 2');
    });
});

describe("a router that stops", () => {
    // Callers keep their connections open while the router stops. Requests in progress are completed, each response closes its connection,
    // later requests are refused, and none is aborted.
    it("completes open requests and accepts no new ones", async () => {
        const target = await fixture.current.addTarget("engines", "engine-1");
        const daemon = await fixture.current.addRouter();
        target.eventPauseMs = 300;
        const open = fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a1") });
        await waitUntil(() => target.received.length > 0);
        const stopped = daemon.stop();
        const late = await fixture.current.send({ path: "/nowhere/" });
        expect([daemon.isReady, late.headers.connection]).toEqual([false, "close"]);
        expect((await open).body.match(/id: \d/g)?.length).toBe(5);
        await stopped;
    });
});
