import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { SystemClock } from "../../src/base/clock.js";
import { fetchSnapshot } from "../../src/gateway/peers/snapshotApi.js";
import { TargetConnection } from "../../src/gateway/targetConnection.js";
import { HttpEngineInspector } from "../../platform/httpEngineInspector.js";
import { StoreClient } from "../../platform/storeClient.js";
import { TruncatingServer, type CloseKind } from "../fakes/usersPlatform/truncatingServer.js";
import { createPromptHeaders, findFreePort, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const status = "HTTP/1.1 200 OK\r\n";
const common = "X-Lynxarch-Attempt-Id: ID\r\nX-Lynxarch-Engine-Stamp: s\r\n";
const heads = {
    "with a length": `${status}${common}Content-Length: 400\r\n\r\n`,
    "in chunks": `${status}${common}Transfer-Encoding: chunked\r\n\r\n`,
    "without a length": `${status}${common}Connection: close\r\n\r\n`,
    "after an interim response": `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${status}${common}\r\n`,
} as const;
const closeKinds: readonly CloseKind[] = ["end", "reset"];
const limits = { connectTimeoutMs: 1_000, mostAnswerBytes: 100_000 };

const server = { current: new TruncatingServer() };

beforeEach(async () => {
    server.current = new TruncatingServer();
    await server.current.start();
});

afterEach(() => server.current.dispose());

/** Sends a request, and lists what the listener receives. */
function listProgress(connection = openConnection()): Promise<readonly string[]> {
    const progress: string[] = [];
    return new Promise(resolve => {
        const end = (step: string): void => resolve([...progress, step]);
        connection.send(
            { method: "GET", path: "/", headers: ["x-lynxarch-attempt-id", "a1"], body: undefined },
            {
                canStart: () => true,
                handleSent: () => undefined,
                handleHead: received => progress.push(`head ${received}`),
                handleData: () => progress.push("data"),
                handleDrain: () => undefined,
                handleEnd: () => end("end"),
                handleFailure: failure => end(failure),
            },
        );
    });
}

function openConnection(): TargetConnection {
    return new TargetConnection(server.current.address, limits, () => undefined);
}

describe("a response head that is cut off", () => {
    // A head without its last bytes may lack the length or the signature: taken as complete, its response would be empty and look whole.
    it.each(Object.entries(heads))("%s is a failure at any byte", async (...[, [, head]]) => {
        const outcomes = new Set<string>();
        for (const closeKind of closeKinds) {
            server.current.closeKind = closeKind;
            for (let length = 0; length < head.length; length++) {
                server.current.response = head.slice(0, length);
                outcomes.add((await listProgress()).join(", "));
            }
        }
        expect([...outcomes]).toEqual(["broken"]);
    });

    // What the parser kept of the response before must not complete the next one.
    it.each(closeKinds)("on a kept connection is a failure (%s)", async closeKind => {
        server.current.closeKind = closeKind;
        const outcomes = new Set<string>();
        for (const head of Object.values(heads)) {
            server.current.keptResponses.push(`${status}${common}Content-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok`);
            server.current.response = head.slice(0, -2);
            const connection = openConnection();
            outcomes.add((await listProgress(connection)).join(", "));
            // undici uses a connection again in the next turn of the event loop at the earliest.
            await new Promise(resolve => setImmediate(resolve));
            outcomes.add((await listProgress(connection)).join(", "));
        }
        expect([...outcomes]).toEqual(["head 200, data, end", "broken"]);
    });

    it("is a failure if its bytes arrive one by one", async () => {
        server.current.isBytewise = true;
        const outcomes = new Set<string>();
        for (const head of Object.values(heads)) {
            server.current.response = head.slice(0, -1);
            outcomes.add((await listProgress()).join(", "));
        }
        expect([...outcomes]).toEqual(["broken"]);
    });

    it.each([
        ["a body short of its length", `${heads["with a length"]}body`],
        ["the size of a chunk", `${heads["in chunks"]}4\r\nbody\r\n1`],
        ["the last chunk", `${heads["in chunks"]}4\r\nbody\r\n0\r\n`],
        ["a trailer", `${heads["in chunks"]}4\r\nbody\r\n0\r\nX-Trailer: va`],
    ])("behind the head, in %s, is a failure", async (...[, response]) => {
        server.current.response = response;
        expect(await listProgress()).toEqual(["head 200", "data", "broken"]);
    });
});

describe("a router whose target stops in the middle of a response head", () => {
    const fixture = { current: new GatewayFixture() };

    beforeEach(async () => {
        fixture.current = new GatewayFixture();
        await fixture.current.start();
    });

    afterEach(() => fixture.current.dispose());

    async function sendTo(path: string, service: "engines" | "app", closeKind: CloseKind): Promise<object> {
        server.current.closeKind = closeKind;
        server.current.response = heads["with a length"].slice(0, -4);
        const entry = { service, address: server.current.address, zone: "dc-a", slots: 8, state: "ready" };
        fixture.current.store.write("keyed.servers", "truncating-1", { ...entry, born: 1_700_000_000_000 });
        await fixture.current.addRouter();
        const response = await fixture.current.send({ path, headers: createPromptHeaders("a1"), body: "b" });
        const isFromRouter = response.headers["content-type"] === "application/problem+json";
        return { status: response.status, isFromRouter, requests: server.current.requests };
    }

    // The target may have executed the request, so the caller receives a status that does not exclude it, and never a success.
    it.each([
        ["/book/x", "app", "end"],
        ["/book/x", "app", "reset"],
        ["/find/x", "app", "end"],
        ["/once/x", "engines", "end"],
        ["/plan/x", "engines", "end"],
        ["/plan/x", "engines", "reset"],
    ] as const)("responds with an error of its own (%s, %s, %s)", async (path, service, closeKind) => {
        expect(await sendTo(path, service, closeKind)).toEqual({ status: 502, isFromRouter: true, requests: 1 });
    });

    // The head of the continuation is not relayed, so that only its end could make the stream look whole.
    it("in the continuation of a stream ends the stream visibly truncated", async () => {
        const engine = await fixture.current.addTarget("engines", "engine-1");
        const metricsPort = await findFreePort();
        await fixture.current.addRouter({ metricsPort });
        // The engine has the prompt's parts from now on, so that it is selected before the other target.
        await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a0") });
        server.current.response = heads["in chunks"].slice(0, -2);
        const entry = { service: "engines", address: server.current.address, zone: "dc-a", version: "v1", slots: 8 };
        const born = 1_700_000_000_000;
        fixture.current.store.write("keyed.servers", "truncating-1", { ...entry, state: "ready", born });
        await waitUntil(async () => {
            const state = (await (await fetch(`http://127.0.0.1:${metricsPort}/state`)).json()) as {
                targets: object[];
            };
            return state.targets.length === 2;
        });
        engine.usual = "break-off";
        const response = await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a1") });
        const { status: received, isIncomplete } = response;
        expect({ received, isIncomplete, events: response.body.match(/id: \d/g) }).toEqual({
            received: 200,
            isIncomplete: true,
            events: ["id: 1", "id: 2"],
        });
        expect(server.current.requests).toBe(1);
    });
});

describe("a reader of the router whose server stops in the middle of a response head", () => {
    // An empty list of records, parts or peers' records would count as what the server holds.
    it.each(closeKinds)("fails its call (%s)", async closeKind => {
        server.current.closeKind = closeKind;
        server.current.response = `${status}Content-Type: application/octet-stream\r\nContent-Length: 16\r\n`;
        const { address } = server.current;
        const { token } = new CancellationTokenSource();
        const store = new StoreClient(address);
        const inspector = new HttpEngineInspector(new SystemClock());
        const calls = await Promise.all([
            store.read("keyed.servers", 0, { waitMs: 0, timeoutMs: 1_000 }, token),
            store.readNewest("keyed.servers", token),
            store.append("keyed.status", "key", Buffer.from("value"), token),
            inspector.listCachedParts(address, token),
            fetchSnapshot(address),
        ]);
        store.dispose();
        inspector.dispose();
        expect(calls.map(call => call.isErr())).toEqual([true, true, true, true, true]);
    });
});
