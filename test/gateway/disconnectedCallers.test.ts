import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Worker } from "node:worker_threads";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CallerExchange } from "../../src/gateway/callerExchange.js";

const callerCount = 40;
const bodyBytes = 5_000;

/** Callers in a worker thread: each sends its request and closes its connection before the server's thread continues. */
const callersSource = `
    const { connect } = require("node:net");
    const { workerData } = require("node:worker_threads");
    const { signal, port, request, count } = workerData;
    let remaining = count;
    for (let index = 0; index < count; index++) {
        const socket = connect({ host: "127.0.0.1", port });
        socket.end(request, () => {
            socket.destroy();
            remaining -= 1;
            if (remaining === 0) {
                Atomics.store(new Int32Array(signal), 0, 1);
                Atomics.notify(new Int32Array(signal), 0);
            }
        });
    }
`;

/** For each request, whether its caller was reported as disconnected after the wait for a pending close. */
const disconnectedFlags: boolean[] = [];
const fixture: { server: Server | undefined } = { server: undefined };

beforeEach(async () => {
    disconnectedFlags.length = 0;
    const server = createServer((request, response) => {
        const caller = new CallerExchange(request, response);
        void caller
            .readBody({ maxBytes: 2 * bodyBytes, hasCapacity: () => true })
            .then(() => caller.waitForPendingClose())
            .then(() => disconnectedFlags.push(caller.isDisconnected));
    });
    fixture.server = server;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
});

afterEach(() => {
    fixture.server?.closeAllConnections();
    fixture.server?.close();
});

/** Blocks the server's thread until all callers have sent their requests and closed their connections. */
async function sendAndDisconnect(): Promise<void> {
    const { port } = fixture.server!.address() as AddressInfo;
    const head = `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
    const signal = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const workerData = { signal, port, request: head + "x".repeat(bodyBytes), count: callerCount };
    const worker = new Worker(callersSource, { eval: true, workerData });
    Atomics.wait(new Int32Array(signal), 0, 0);
    await new Promise(resolve => worker.once("exit", resolve));
    while (disconnectedFlags.length < callerCount) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("requests that are read after their callers have disconnected", () => {
    // Node reports the close of a connection some event loop iterations after the request's end. Without the wait such requests are served.
    it("are reported as disconnected before they are processed", async () => {
        await sendAndDisconnect();
        expect(disconnectedFlags.filter(isDisconnected => !isDisconnected)).toEqual([]);
    });
});
