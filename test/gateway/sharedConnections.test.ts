import { Agent } from "node:http";
import { connect, createServer, Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { SystemClock } from "../../src/base/clock.js";
import { SeededRandom } from "../../src/base/random.js";
import { ConnectionSharing, type SharedConnectionCounts } from "../../src/gateway/connectionSharing.js";
import type { LoadSource } from "../../src/gateway/loadMonitor.js";
import type { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import { TruncatingServer } from "../fakes/usersPlatform/truncatingServer.js";
import {
    createPromptHeaders,
    GatewayFixture,
    host,
    idleLoad,
    waitUntil,
    type CallerResponse,
    type CallerRequest,
} from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const zeroShared: SharedConnectionCounts = { handedOver: 0, received: 0, unreached: 0 };
let sharedBefore: readonly SharedConnectionCounts[] = [];
const busyLoad: LoadSource = { ...idleLoad, loop: { delayMs: 0, utilization: 0.95, recentUtilization: 0.95 } };

beforeEach(async () => {
    sharedBefore = [];
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

const agent = new Agent({ keepAlive: false });
const settings = { handsOverConnections: true };

/** Starts a saturated router and a neighbour and, if the neighbour is idle, waits until the first connection is handed over to it. */
async function startRouters(neighbourLoad: LoadSource = idleLoad): Promise<void> {
    await fixture.current.addRouter(settings, true, busyLoad);
    await fixture.current.addRouter(settings, true, neighbourLoad);
    await waitUntil(() => fixture.current.routers.every(({ daemon }) => daemon.knownRouterCount === 2));
    await waitUntil(async () => {
        await sendOnNewConnection({ path: "/nowhere/", headers: { "x-lynxarch-attempt-id": "a0" } });
        return neighbourLoad === busyLoad || readShared(0).handedOver > 0;
    });
    sharedBefore = fixture.current.routers.map(({ daemon }) => ({ ...daemon.sharedConnections }));
}

/** Sends a request on a new connection, because only new connections are handed over. */
function sendOnNewConnection(call: CallerRequest): Promise<CallerResponse> {
    return fixture.current.send({ ...call, agent });
}

/** Counts of shared connections since {@link startRouters}. */
function readShared(router: number): SharedConnectionCounts {
    const { handedOver, received, unreached } = fixture.current.routers[router].daemon.sharedConnections;
    const before = sharedBefore[router] ?? zeroShared;
    return {
        handedOver: handedOver - before.handedOver,
        received: received - before.received,
        unreached: unreached - before.unreached,
    };
}

async function addApp(): Promise<TargetServer> {
    return fixture.current.addTarget("app", "app-1");
}

describe("a connection that reaches a saturated router", () => {
    it("is served by its neighbour, complete and unchanged", async () => {
        const target = await addApp();
        await startRouters();
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const response = await sendOnNewConnection({ path: "/book/", headers, body: "seat 4" });
        expect({ status: response.status, body: response.body }).toEqual({ status: 200, body: "answer to a1" });
        expect(target.received.map(({ body }) => body)).toEqual(["seat 4"]);
        expect([readShared(0), readShared(1)]).toMatchObject([{ handedOver: 1 }, { received: 1 }]);
    });

    // Neither router may frame what the target sent before it stopped as a whole response.
    it("gets an error of its neighbour if the target stops in the middle of its response head", async () => {
        const truncating = new TruncatingServer();
        await truncating.start();
        truncating.response =
            "HTTP/1.1 200 OK\r\nX-Lynxarch-Attempt-Id: ID\r\nX-Lynxarch-Engine-Stamp: s\r\nContent-Le";
        const entry = { service: "app", address: truncating.address, zone: "dc-a", slots: 8, state: "ready" };
        fixture.current.store.write("keyed.servers", "truncating-1", { ...entry, born: 1_700_000_000_000 });
        await startRouters();
        const response = await sendOnNewConnection({ path: "/book/", headers: { "x-lynxarch-attempt-id": "a1" } });
        truncating.dispose();
        expect({ status: response.status, isIncomplete: response.isIncomplete }).toEqual({
            status: 502,
            isIncomplete: false,
        });
        expect(readShared(0)).toMatchObject({ handedOver: 1 });
    });

    it("carries a stream event by event", async () => {
        await fixture.current.addTarget("engines", "engine-1");
        await startRouters();
        const response = await sendOnNewConnection({ path: "/once/", headers: createPromptHeaders("a1"), body: "b" });
        expect({ events: response.body.split("\n\n").length - 1, isIncomplete: response.isIncomplete }).toEqual({
            events: 5,
            isIncomplete: false,
        });
        expect(readShared(1)).toMatchObject({ received: 1 });
    });

    // If the caller's close were not forwarded, the target would continue to work on a response without a recipient.
    it("forwards its caller's close to the neighbour and the target", async () => {
        const target = await addApp();
        target.usual = "hang";
        await startRouters();
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const call = sendOnNewConnection({ path: "/find/", headers, disconnectAfterMs: 100 }).catch(() => undefined);
        await waitUntil(() => target.received.some(({ isAborted }) => isAborted));
        await call;
        expect(readShared(1)).toMatchObject({ received: 1 });
    });

    // The request of a caller that closed the connection before the request was read must not be executed.
    it("whose caller disconnected before the request was read is not handed over", async () => {
        const target = await addApp();
        await startRouters();
        const [address, port] = fixture.current.routers[0].settings.callers.split(":");
        const request = `POST /book/ HTTP/1.1\r\nHost: ${host}\r\nX-Lynxarch-Attempt-Id: gone\r\nContent-Length: 1\r\n\r\nb`;
        await new Promise<void>(resolve => {
            const socket = connect(Number(port), address);
            socket.once("close", () => resolve());
            socket.resume();
            socket.end(request);
        });
        const headers = { "x-lynxarch-attempt-id": "a1" };
        await sendOnNewConnection({ path: "/book/", headers });
        expect(target.received.map(({ id }) => id)).toEqual(["a1"]);
    });

    // The neighbour ends during the request: the caller's connection is closed, and a request that may have been executed is not repeated.
    it("is closed when the neighbour ends, and its request is executed once", async () => {
        const target = await addApp();
        target.usual = "hang";
        await startRouters();
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const outcome = sendOnNewConnection({ path: "/book/", headers }).then(
            ({ isIncomplete }) => (isIncomplete ? "incomplete" : "completed"),
            () => "closed",
        );
        await waitUntil(() => target.received.length === 1);
        fixture.current.routers[1].daemon.dispose();
        expect(await outcome).not.toBe("completed");
        expect(target.received.length).toBe(1);
    });

    it("is served by this router when the neighbour can't be reached", async () => {
        const target = await addApp();
        await startRouters();
        fixture.current.routers[1].daemon.dispose();
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const response = await sendOnNewConnection({ path: "/book/", headers, body: "b" });
        expect({ status: response.status, received: target.received.length }).toEqual({ status: 200, received: 1 });
    });

    // A neighbour that has just started can't identify the sender yet and closes the connection at once; the request must not be lost.
    it.each([
        ["closes it at once", (socket: Socket): unknown => socket.destroy()],
        ["does not accept it", (socket: Socket): unknown => socket],
        [
            "sends something other than the accept byte",
            (socket: Socket): unknown => socket.write("HTTP/1.1 400 Bad Request\r\n\r\n"),
        ],
    ])("is served by this router when the neighbour %s", async (...[, handle]) => {
        const target = await addApp();
        await startRouters();
        const { ip, peerPorts } = fixture.current.routers[1].settings;
        fixture.current.routers[1].daemon.dispose();
        const server = createServer(handle);
        await new Promise<void>(resolve => server.listen(peerPorts[1], ip, () => resolve()));
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const response = await sendOnNewConnection({ path: "/book/", headers, body: "b" });
        server.close();
        expect({ status: response.status, received: target.received.length }).toEqual({ status: 200, received: 1 });
    });

    it("is served by this router when the neighbour is busy too", async () => {
        await addApp();
        await startRouters(busyLoad);
        const headers = { "x-lynxarch-attempt-id": "a1" };
        expect((await sendOnNewConnection({ path: "/book/", headers })).status).toBe(200);
        expect([readShared(0), readShared(1)]).toMatchObject([{ handedOver: 0 }, { received: 0 }]);
    });
});

// A router without a connection to the platform may still have an older configuration: a caller handed over to it would be served with
// routes and keys that have been removed.
it.each([
    ["older", 13, false],
    ["unknown", undefined, false],
    ["the same", 14, true],
] as const)("a connection is handed to a neighbour whose configuration is %s: %s, %s", (...[, version, isTaken]) => {
    const condition = { dataCentre: "a", processorShare: 1, utilization: 0, isWithdrawn: false };
    const sharing = new ConnectionSharing(
        {
            isEnabled: true,
            ip: "127.0.0.1",
            port: 1,
            dataCentre: "a",
            maxRelayedConnections: 10,
            peers: {
                conditions: new Map([["router-2", { ...condition, configurationVersion: version }]]),
                findAddress: () => "127.0.0.1",
                findRouter: () => undefined,
            },
            load: busyLoad,
            getConfigurationVersion: () => 14,
            clock: new SystemClock(),
            random: new SeededRandom(1),
        },
        () => undefined,
    );
    expect(sharing.offer(new Socket())).toBe(isTaken);
    sharing.dispose();
});

// The port is for routers only; a connection from an unknown host must not be treated as one that a router handed over.
it("a connection from an unknown host to the routers' port is closed", async () => {
    await startRouters();
    const { ip, peerPorts } = fixture.current.routers[1].settings;
    const received = await new Promise<string>(resolve => {
        const socket = connect({ port: peerPorts[1], host: ip, localAddress: "127.0.0.77" });
        let text = "";
        socket.on("data", data => (text += data.toString()));
        socket.on("error", () => undefined);
        socket.once("close", () => resolve(text));
        socket.write(`GET /find/ HTTP/1.1\r\nHost: ${host}\r\n\r\n`);
    });
    expect(received).toBe("");
});
