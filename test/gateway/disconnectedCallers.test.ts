import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Worker } from "node:worker_threads";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CallerExchange } from "../../src/gateway/callerExchange.js";

const callerCount = 40;
const bodyBytes = 5_000;

/** Callers in a thread of their own: each sends its request, and closes before the server's thread goes on. */
const callersSource = `
    const { connect } = require("node:net");
    const { workerData } = require("node:worker_threads");
    const { signal, port, request, count } = workerData;
    let left = count;
    for (let index = 0; index < count; index++) {
        const socket = connect({ host: "127.0.0.1", port });
        socket.end(request, () => {
            socket.destroy();
            left -= 1;
            if (left === 0) {
                Atomics.store(new Int32Array(signal), 0, 1);
                Atomics.notify(new Int32Array(signal), 0);
            }
        });
    }
`;

/** Whether each request's caller was known to have left once its close had been waited for. */
const seen: boolean[] = [];
const fixture: { server: Server | undefined } = { server: undefined };

beforeEach(async () => {
    seen.length = 0;
    const server = createServer((request, response) => {
        const caller = new CallerExchange(request, response);
        void caller
            .readBody({ maxBytes: 2 * bodyBytes, hasCapacity: () => true })
            .then(() => caller.waitForPendingClose())
            .then(() => seen.push(caller.isDisconnected));
    });
    fixture.server = server;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
});

afterEach(() => {
    fixture.server?.closeAllConnections();
    fixture.server?.close();
});

/** Holds the server's thread until all callers have sent their requests and closed. */
async function sendAndLeave(): Promise<void> {
    const { port } = fixture.server!.address() as AddressInfo;
    const head = `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
    const signal = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const workerData = { signal, port, request: head + "x".repeat(bodyBytes), count: callerCount };
    const worker = new Worker(callersSource, { eval: true, workerData });
    Atomics.wait(new Int32Array(signal), 0, 0);
    await new Promise(resolve => worker.once("exit", resolve));
    while (seen.length < callerCount) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("requests that lie unread until their callers have left", () => {
    // Node reports the close of a connection some turns after the request's end; looked at before, such requests are served.
    it("are known as left before they are worked on", async () => {
        await sendAndLeave();
        expect(seen.filter(hasLeft => !hasLeft)).toEqual([]);
    });
});
