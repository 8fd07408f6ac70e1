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

// The store loses what it acknowledged last and gives its offsets out again: a reader that goes on at its own offset never sees the
// records that took them.
it("reads what was written under offsets that were given out again", async () => {
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

// The copy holds an older configuration than the one in force.
it("does not go back to the configuration of the copy", async () => {
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

// Targets whose entries are missing in the copy write them again within seconds; until then they are as good as before.
it("keeps targets whose entries are missing in the copy until they can have written them again", async () => {
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
