import { afterEach, beforeEach, expect, it } from "vitest";
import { createConfiguration, createPromptHeaders, GatewayFixture, host, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

async function fetchStatus(path: string): Promise<number> {
    const headers = { ...createPromptHeaders("a1"), host };
    return (await fixture.current.send({ path, method: "GET", headers })).status;
}

function listRoutes(version: number, names: readonly string[]): object {
    const { routes } = createConfiguration(version) as { routes: readonly { readonly name: string }[] };
    return createConfiguration(version, { routes: routes.filter(({ name }) => names.includes(name)) });
}

// The store loses the last acknowledged writes and reuses their offsets. A reader that continues at its own offset would never receive the
// records that were written under these offsets.
it("reads records that were written under reused offsets", async () => {
    const { store } = fixture.current;
    await fixture.current.addTarget("app", "app-1");
    await fixture.current.addRouter();
    store.write("keyed.op", "config", listRoutes(2, ["r-find"]));
    store.write("keyed.op", "note", {});
    await waitUntil(async () => (await fetchStatus("/book/x")) === 404);
    store.removeLast("keyed.op", 2);
    store.write("keyed.op", "config", listRoutes(3, ["r-find", "r-book"]));
    store.write("keyed.op", "note", {});
    await waitUntil(async () => (await fetchStatus("/book/x")) !== 404);
}, 10_000);

// The copy contains an older configuration than the one in force.
it("does not revert to the configuration of the copy", async () => {
    const { store } = fixture.current;
    await fixture.current.addTarget("app", "app-1");
    await fixture.current.addRouter();
    store.write("keyed.op", "config", listRoutes(2, ["r-find"]));
    await waitUntil(async () => (await fetchStatus("/book/x")) === 404);
    store.removeLast("keyed.op", 1);
    const statuses = new Set<number>();
    for (let index = 0; index < 20; index++) {
        statuses.add(await fetchStatus("/book/x"));
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    expect([...statuses]).toEqual([404]);
});

// Targets whose entries are missing in the copy write them again within seconds, and are usable in the meantime.
it("keeps targets whose entries are missing in the copy for the time that they need to write them again", async () => {
    const { store } = fixture.current;
    await fixture.current.addRouter();
    await fixture.current.addTarget("app", "app-1");
    await waitUntil(async () => (await fetchStatus("/find/x")) === 200);
    store.removeLast("keyed.servers", 1);
    const statuses = new Set<number>();
    for (let index = 0; index < 20; index++) {
        statuses.add(await fetchStatus("/find/x"));
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    expect([...statuses]).toEqual([200]);
    await waitUntil(async () => (await fetchStatus("/find/x")) === 503);
}, 15_000);
