import { createServer, type Server, type ServerResponse } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HttpConnections } from "../../src/http/httpConnections.js";
import { waitUntil } from "../gateway/gatewayFixture.js";

/** More than the kernel buffers of a loopback connection hold. */
const bodyBytes = 20_000_000;
let server: Server;
let connections: HttpConnections;
let responses: ServerResponse[] = [];
let sockets: Socket[] = [];
let accepted: Socket[] = [];

beforeEach(async () => {
    responses = [];
    sockets = [];
    accepted = [];
    server = createServer((request, response) => {
        request.resume();
        responses.push(response);
    });
    connections = new HttpConnections(server);
    server.on("connection", (socket: Socket) => {
        accepted.push(socket);
        connections.add(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
});

afterEach(() => {
    sockets.forEach(socket => socket.destroy());
    connections.closeAll();
});

/** Opens a connection that reads nothing, and waits until the server has read the bytes. */
async function open(bytes: string): Promise<Socket> {
    const index = accepted.length;
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1").pause();
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.write(bytes);
    await waitUntil(() => accepted[index]?.bytesRead === bytes.length);
    return socket;
}

/** Number of bytes of the body that arrive until the connection is closed. */
async function readBody(socket: Socket): Promise<number> {
    let bytes = 0;
    socket.on("data", (chunk: Buffer) => (bytes += chunk.length));
    socket.resume();
    await new Promise(resolve => socket.once("close", resolve));
    return bytes;
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

describe("a server that stops accepting connections", () => {
    // Node closes a connection whose response has been ended, although its caller has not read it yet.
    it("sends the rest of a response that has been ended", async () => {
        const socket = await open(request);
        await waitUntil(() => responses.length === 1);
        responses[0].shouldKeepAlive = false;
        responses[0].end(Buffer.alloc(bodyBytes));
        const unsentBefore = connections.unsentResponses;
        connections.stopAccepting();
        expect(await readBody(socket)).toBeGreaterThan(bodyBytes);
        expect([unsentBefore, connections.unsentResponses]).toEqual([1, 0]);
    });

    // A connection that has begun to send a request expects a response to it.
    it("closes the connections without a request, and no others", async () => {
        const used = await open(request);
        await waitUntil(() => responses.length === 1);
        responses[0].end("body");
        await waitUntil(() => connections.unsentResponses === 0);
        const unused = await open("");
        const begun = await open("GET / HTTP/1.1\r\nHo");
        const waiting = await open(request);
        await waitUntil(() => responses.length === 2);
        const closed = [used, unused].map(socket => readBody(socket));
        connections.stopAccepting();
        await Promise.all(closed);
        begun.write("st: h\r\n\r\n");
        await waitUntil(() => responses.length === 3);
        expect([used, unused, begun, waiting].map(socket => socket.destroyed)).toEqual([true, true, false, false]);
    });

    // A connection that is closed with several responses must not keep the count above zero: the stop would last its whole grace period.
    it("counts no responses of connections that were closed", async () => {
        const socket = await open(request.repeat(3));
        await waitUntil(() => responses.length === 3);
        const unsentBefore = connections.unsentResponses;
        socket.destroy();
        await waitUntil(() => connections.unsentResponses === 0);
        expect(unsentBefore).toBe(3);
    });
});
