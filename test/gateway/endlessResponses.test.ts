import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CircuitBreaker } from "../../src/decisions/health/circuitBreaker.js";
import { EndlessServer, type EndlessShape } from "../fakes/usersPlatform/endlessServer.js";
import { createConfiguration, createPromptHeaders, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const endless: EndlessServer[] = [];
const mostAnswerBytes = 4_000_000;
/** Maximum bytes in the kernel's buffers of a loopback connection. */
const maxKernelBufferBytes = 12_000_000;

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

/** Sends a request that only the endless target can serve, and describes the response that the caller received. */
async function describeCall(path: string, id: string): Promise<object> {
    const response = await fixture.current.send({ path, headers: createPromptHeaders(id), body: "b" });
    return {
        status: response.status,
        isIncomplete: response.isIncomplete,
        isSound: response.status === 200 && !response.isIncomplete,
    };
}

describe("a target that sends endless data", () => {
    // Its connection must be closed after a bounded number of bytes. Otherwise one such target makes a router unavailable to all accounts.
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
    ] as const)("in a %s (%s) fails its request and is disconnected", async (shape, path, service) => {
        await fixture.current.start();
        const server = await addEndless(shape, service);
        await fixture.current.addRouter({ mostAnswerBytes });
        const outcome = await describeCall(path, "a1");
        await waitUntil(() => server.openConnections === 0);
        expect(outcome).toMatchObject({ isSound: false });
        expect(Math.max(...server.takenBytes)).toBeLessThan(mostAnswerBytes + maxKernelBufferBytes);
    });

    // A target that answers endlessly once does so again: each response takes as much time as thousands of requests.
    it.each([
        ["status-line", "/book/", "app"],
        ["header", "/book/", "app"],
        ["interim", "/book/", "app"],
        ["chunk-extension", "/book/", "app"],
        ["trailer", "/book/", "app"],
        ["event", "/once/", "engines"],
        ["events", "/once/", "engines"],
        ["chunked-events", "/once/", "engines"],
        ["tiny-pieces", "/once/", "engines"],
    ] as const)("in a %s (%s) gets no further request until a probe", async (shape, path, service) => {
        const observeFailure = vi.spyOn(CircuitBreaker.prototype, "observeFailure");
        await fixture.current.start();
        const server = await addEndless(shape, service);
        await fixture.current.addRouter({ mostAnswerBytes });
        await describeCall(path, "a1");
        await waitUntil(() => server.openConnections === 0);
        const opened = observeFailure.mock.results.map(({ value }) => value as boolean);
        observeFailure.mockRestore();
        expect(opened).toEqual([true]);
    });

    // The response itself is complete. The bytes after it belong to no request and must not be relayed with the next one.
    it("after a complete response does not affect that response and is disconnected", async () => {
        await fixture.current.start();
        const server = await addEndless("after-end", "app");
        await fixture.current.addRouter({ mostAnswerBytes });
        const outcome = await describeCall("/book/", "a1");
        await waitUntil(() => server.openConnections === 0);
        expect(outcome).toMatchObject({ status: 200, isSound: true });
    });

    // Bytes that never complete an event are not progress. If they counted as output, a repeatable request would wait for its deadline.
    it("at a slow rate loses a repeatable request to another target", async () => {
        const [plan, ...routes] = createConfiguration(1).routes as { readonly goal_ms: number }[];
        await fixture.current.start(createConfiguration(1, { routes: [{ ...plan, goal_ms: 200 }, ...routes] }));
        const server = await addEndless("event", "engines", 20);
        await fixture.current.addRouter();
        const pendingResponse = fixture.current.send({ path: "/plan/", headers: createPromptHeaders("a1"), body: "b" });
        await waitUntil(() => server.requests === 1);
        await fixture.current.addTarget("engines", "engine-1");
        const { status, isIncomplete, body } = await pendingResponse;
        expect({ status, isIncomplete, events: body.split("\n\n").length - 1 }).toEqual({
            status: 200,
            isIncomplete: false,
            events: 5,
        });
    });

    // With twenty such responses at once the router must still serve other callers' requests.
    it("in twenty responses at once does not keep the router from serving others", async () => {
        await fixture.current.start();
        await Promise.all(Array.from({ length: 20 }, () => addEndless("event", "engines")));
        await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter({ mostAnswerBytes });
        const indexes = [...Array(20).keys()];
        const calls = indexes.map(index => describeCall("/once/", `e${index}`));
        const others = indexes.map(index => describeCall("/book/", `b${index}`));
        expect(new Set((await Promise.all(others)).map(other => JSON.stringify(other)))).toEqual(
            new Set([JSON.stringify({ status: 200, isIncomplete: false, isSound: true })]),
        );
        await Promise.all(calls);
        await waitUntil(() => endless.every(server => server.openConnections === 0));
    });
});
