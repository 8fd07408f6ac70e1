import { createServer, type Server, type ServerResponse } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { afterEach, beforeEach, expect, it } from "vitest";
import { ResponseWriter } from "../../src/gateway/responseWriter.js";
import { waitUntil } from "./gatewayFixture.js";

const event = Buffer.from("data: x\n\n");
let server: Server;
let response: ServerResponse;
let writer: ResponseWriter;
let socket: Socket;
/** Sizes of the writes to the response. */
let writes: number[] = [];
let received = "";

beforeEach(async () => {
    writes = [];
    received = "";
    const started = new Promise<void>(resolve => {
        server = createServer((...[, incoming]) => {
            response = incoming;
            const write = response.write.bind(response) as (data: Buffer, handle: () => void) => boolean;
            response.write = ((data: Buffer, handle: () => void) => {
                writes.push(data.length);
                return write(data, handle);
            }) as typeof response.write;
            writer = new ResponseWriter(response, () => undefined);
            resolve();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    socket = connect((server.address() as AddressInfo).port, "127.0.0.1").pause();
    socket.on("error", () => undefined);
    socket.on("data", (data: Buffer) => (received += data.toString("latin1")));
    socket.pause();
    socket.write("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    await started;
    response.writeHead(200);
});

afterEach(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
});

function waitForTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

// Each write costs many times the bytes of a small event: a target that sends them endlessly took all the time of a router.
it("writes the events that arrive in one turn of the event loop together", async () => {
    for (let index = 0; index < 1_000; index++) {
        writer.write(event);
    }
    await waitForTurn();
    writer.write(event);
    writer.end();
    socket.resume();
    await waitUntil(() => received.endsWith(event.toString()) && socket.destroyed);
    expect(writes).toEqual([1_000 * event.length]);
    expect(received.split("data: x").length - 1).toBe(1_001);
});

// A write that waits for its reader takes hundreds of bytes, which no bound counted: the process ran out of memory.
it("collects the events that arrive while the socket takes nothing", async () => {
    // More than the kernel's buffers hold.
    const block = Buffer.alloc(20_000_000, "x");
    writer.write(block);
    await waitForTurn();
    for (let index = 0; index < 500; index++) {
        writer.write(event);
        await waitForTurn();
    }
    const { unsentBytes } = writer;
    expect(writes).toEqual([block.length]);
    expect(unsentBytes).toBeGreaterThan(500 * event.length);
    socket.resume();
    await waitUntil(() => writer.unsentBytes === 0);
    writer.end();
    await waitUntil(() => socket.destroyed);
    expect(writes).toEqual([block.length, 500 * event.length]);
    expect(received.length).toBe(received.indexOf("\r\n\r\n") + 4 + block.length + 500 * event.length);
});
