import { connect, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { SharedConnections } from "../../src/gateway/connectionSharing.js";
import type { LoadSource } from "../../src/gateway/loadMonitor.js";
import type { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import { createPromptHeaders, GatewayFixture, host, idleLoad, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const busyLoad: LoadSource = { ...idleLoad, loop: { delayMs: 0, utilization: 0.95 } };

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

/** Starts a saturated router and, unless it is to be alone, an idle neighbour. */
async function startRouters(neighbourLoad: LoadSource = idleLoad): Promise<void> {
    await fixture.current.addRouter({}, true, busyLoad);
    await fixture.current.addRouter({}, true, neighbourLoad);
    await waitUntil(async () => readShared(0) !== undefined && fixture.current.routers[0].daemon.knownRouters === 2);
    // The neighbour's condition comes with its first message, which is there once it is known; its own view may be a round behind.
    await waitUntil(() => fixture.current.routers[1].daemon.knownRouters === 2);
}

function readShared(router: number): SharedConnections {
    return fixture.current.routers[router].daemon.sharedConnections;
}

async function addApp(): Promise<TargetServer> {
    return fixture.current.addTarget("app", "app-1");
}

describe("a connection that reaches a saturated router", () => {
    it("is served by its neighbour, whole and unchanged", async () => {
        const target = await addApp();
        await startRouters();
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const answer = await fixture.current.send({ path: "/book/", headers, body: "seat 4" });
        expect({ status: answer.status, body: answer.body }).toEqual({ status: 200, body: "answer to a1" });
        expect(target.received.map(({ body }) => body)).toEqual(["seat 4"]);
        expect([readShared(0), readShared(1)]).toMatchObject([{ handedOver: 1 }, { received: 1 }]);
    });

    it("carries a stream event by event", async () => {
        await fixture.current.addTarget("engines", "engine-1");
        await startRouters();
        const answer = await fixture.current.send({ path: "/once/", headers: createPromptHeaders("a1"), body: "b" });
        expect({ events: answer.body.split("\n\n").length - 1, isBroken: answer.isBroken }).toEqual({
            events: 5,
            isBroken: false,
        });
        expect(readShared(1)).toMatchObject({ received: 1 });
    });

    // A close that is not passed on leaves a target at work for nobody.
    it("shows its caller's close to the neighbour and the target", async () => {
        const target = await addApp();
        target.usual = "hang";
        await startRouters();
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const call = fixture.current.send({ path: "/find/", headers, leaveAfterMs: 100 }).catch(() => undefined);
        await waitUntil(() => target.received.some(({ isAborted }) => isAborted));
        await call;
        expect(readShared(1)).toMatchObject({ received: 1 });
    });

    // A caller that sent its request and gave up before it was read must not have it run.
    it("whose caller left before it was read is not handed over", async () => {
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
        await fixture.current.send({ path: "/book/", headers });
        expect(target.received.map(({ id }) => id)).toEqual(["a1"]);
    });

    // The neighbour ends in the middle: the caller sees a broken connection, and what may have run is not run again.
    it("breaks when the neighbour ends, and its request runs once", async () => {
        const target = await addApp();
        target.usual = "hang";
        await startRouters();
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const outcome = fixture.current.send({ path: "/book/", headers }).then(
            ({ isBroken }) => (isBroken ? "broken" : "answered"),
            () => "closed",
        );
        await waitUntil(() => target.received.length === 1);
        fixture.current.routers[1].daemon.dispose();
        expect(await outcome).not.toBe("answered");
        expect(target.received.length).toBe(1);
    });

    it("is served where it is when the neighbour can't be reached", async () => {
        const target = await addApp();
        await startRouters();
        fixture.current.routers[1].daemon.dispose();
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const answer = await fixture.current.send({ path: "/book/", headers, body: "b" });
        expect({ status: answer.status, received: target.received.length }).toEqual({ status: 200, received: 1 });
    });

    // A neighbour that has just started does not know who hands over yet: what it closes at once must not be lost.
    it.each([
        ["closes it at once", (socket: Socket): unknown => socket.destroy()],
        ["does not take it", (socket: Socket): unknown => socket],
        ["answers with something else", (socket: Socket): unknown => socket.write("HTTP/1.1 400 Bad Request\r\n\r\n")],
    ])("is served where it is when the neighbour %s", async (...[, handle]) => {
        const target = await addApp();
        await startRouters();
        const { ip, peerPorts } = fixture.current.routers[1].settings;
        fixture.current.routers[1].daemon.dispose();
        const server = createServer(handle);
        await new Promise<void>(resolve => server.listen(peerPorts[1], ip, () => resolve()));
        const headers = { "x-lynxarch-attempt-id": "a1" };
        const answer = await fixture.current.send({ path: "/book/", headers, body: "b" });
        server.close();
        expect({ status: answer.status, received: target.received.length }).toEqual({ status: 200, received: 1 });
    });

    it("is served where it is when the neighbour is busy too", async () => {
        await addApp();
        await startRouters(busyLoad);
        const headers = { "x-lynxarch-attempt-id": "a1" };
        expect((await fixture.current.send({ path: "/book/", headers })).status).toBe(200);
        expect([readShared(0), readShared(1)]).toMatchObject([{ handedOver: 0 }, { received: 0 }]);
    });
});

// The address is for routers; a stranger's connection there would pass for one that a router handed over.
it("a stranger's connection to the routers' address is closed", async () => {
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
