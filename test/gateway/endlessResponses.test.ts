import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EndlessServer, type EndlessShape } from "../fakes/usersPlatform/endlessServer.js";
import { createConfiguration, createPromptHeaders, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const endless: EndlessServer[] = [];
const mostAnswerBytes = 4_000_000;
/** What the kernel holds between two ends of a connection on loopback, at most. */
const inFlightBytes = 12_000_000;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
});

afterEach(() => {
    endless.splice(0).forEach(server => server.dispose());
    fixture.current.dispose();
});

async function addEndless(shape: EndlessShape, service: "engines" | "app", pauseMs = 0): Promise<EndlessServer> {
    const server = new EndlessServer(shape, pauseMs);
    endless.push(server);
    await server.start();
    const entry = { service, address: server.address, zone: "dc-a", version: "v1", slots: 8, state: "ready" };
    const born = 1_700_000_000_000;
    fixture.current.store.write("keyed.servers", `endless-${endless.length}`, { ...entry, seqno: 1, born });
    return server;
}

/** Sends a call that only the endless target can take, and describes what its caller got. */
async function describeCall(path: string, id: string): Promise<object> {
    const answer = await fixture.current.send({ path, headers: createPromptHeaders(id), body: "b" });
    return {
        status: answer.status,
        isBroken: answer.isIncomplete,
        isSound: answer.status === 200 && !answer.isIncomplete,
    };
}

describe("a target that sends bytes without end", () => {
    // Its connection must be closed after a bounded number of bytes; read on, one such target takes a router out for all accounts.
    it.each([
        ["status-line", "/book/", "app"],
        ["header", "/book/", "app"],
        ["interim", "/book/", "app"],
        ["unframed", "/book/", "app"],
        ["failure", "/book/", "app"],
        ["chunk-extension", "/book/", "app"],
        ["trailer", "/book/", "app"],
        ["event", "/once/", "engines"],
        ["events", "/once/", "engines"],
        ["tiny-pieces", "/once/", "engines"],
        ["tiny-pieces", "/book/", "app"],
        ["unframed", "/once/", "engines"],
    ] as const)("in a %s (%s) fails its request and is cut off", async (shape, path, service) => {
        await fixture.current.start();
        const server = await addEndless(shape, service);
        await fixture.current.addRouter({ mostAnswerBytes });
        const outcome = await describeCall(path, "a1");
        await waitUntil(() => server.openConnections === 0);
        expect(outcome).toMatchObject({ isSound: false });
        expect(Math.max(...server.takenBytes)).toBeLessThan(mostAnswerBytes + inFlightBytes);
    });

    // The answer itself is whole; what follows it belongs to no request and must not reach the next one.
    it("behind a whole answer does no harm to that answer and is cut off", async () => {
        await fixture.current.start();
        const server = await addEndless("after-end", "app");
        await fixture.current.addRouter({ mostAnswerBytes });
        const outcome = await describeCall("/book/", "a1");
        await waitUntil(() => server.openConnections === 0);
        expect(outcome).toMatchObject({ status: 200, isSound: true });
    });

    // A trickle without an event is no sign of work: taken for one, a repeatable request would wait for its deadline.
    it("slowly gives a repeatable request up to another target", async () => {
        const [plan, ...routes] = createConfiguration(1).routes as { readonly goal_ms: number }[];
        await fixture.current.start(createConfiguration(1, { routes: [{ ...plan, goal_ms: 200 }, ...routes] }));
        const server = await addEndless("event", "engines", 20);
        await fixture.current.addRouter();
        const answers = fixture.current.send({ path: "/plan/", headers: createPromptHeaders("a1"), body: "b" });
        await waitUntil(() => server.requests === 1);
        await fixture.current.addTarget("engines", "engine-1");
        const { status, isIncomplete: isBroken, body } = await answers;
        expect({ status, isBroken, events: body.split("\n\n").length - 1 }).toEqual({
            status: 200,
            isBroken: false,
            events: 5,
        });
    });

    // Twenty such answers at once must leave the router able to serve the requests of others.
    it("twenty times at once leaves others served", async () => {
        await fixture.current.start();
        await Promise.all(Array.from({ length: 20 }, () => addEndless("event", "engines")));
        await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter({ mostAnswerBytes });
        const indexes = [...Array(20).keys()];
        const calls = indexes.map(index => describeCall("/once/", `e${index}`));
        const others = indexes.map(index => describeCall("/book/", `b${index}`));
        expect(new Set((await Promise.all(others)).map(other => JSON.stringify(other)))).toEqual(
            new Set([JSON.stringify({ status: 200, isBroken: false, isSound: true })]),
        );
        await Promise.all(calls);
        await waitUntil(() => endless.every(server => server.openConnections === 0));
    });
});
