import { createServer, type Server, type ServerResponse } from "node:http";
import { afterEach, beforeEach, expect, it } from "vitest";
import { SystemClock } from "../../src/base/clock.js";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { HttpEngineInspector } from "../../platform/httpEngineInspector.js";
import { fetchSnapshot } from "../../src/gateway/peers/snapshotApi.js";
import { StoreClient } from "../../platform/storeClient.js";

const filler = Buffer.alloc(16_384, "x");
/** Limit on the size of a store's page, plus the data in kernel buffers of a loopback connection. */
const maxReceivedBytes = 20_000_000;
/** The same for a peer's snapshot. */
const maxReceivedBytesOfPeer = 30_000_000;
const server: { current: Server } = { current: createServer() };
let sentBytes: number[] = [];

beforeEach(async () => {
    sentBytes = [];
    server.current = createServer((request, response) => {
        request.socket.once("close", () => sentBytes.push(request.socket.bytesWritten - request.socket.writableLength));
        writeEndlessly(response);
    });
    await new Promise<void>(resolve => server.current.listen(0, "127.0.0.1", () => resolve()));
});

afterEach(() => {
    server.current.close();
    server.current.closeAllConnections();
});

function writeEndlessly(response: ServerResponse): void {
    if (!response.destroyed) {
        const writeNext = (): void => void setImmediate(() => writeEndlessly(response));
        if (response.write(filler)) {
            writeNext();
        } else {
            response.once("drain", writeNext);
        }
    }
}

function getAddress(): string {
    const address = server.current.address();
    return typeof address === "object" && address ? `127.0.0.1:${address.port}` : "";
}

async function waitForClose(): Promise<void> {
    while (sentBytes.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

// If a response without end were buffered completely, it would exhaust a router's memory within seconds.
it("an endless page of the store is a failed call", async () => {
    const client = new StoreClient(getAddress());
    const page = await client.readNewest("keyed.op", new CancellationTokenSource().token);
    await waitForClose();
    client.dispose();
    expect(page.isErr()).toBe(true);
    expect(Math.max(...sentBytes)).toBeLessThan(maxReceivedBytes);
});

it("an endless list of an engine is a failed call", async () => {
    const engines = new HttpEngineInspector(new SystemClock());
    const list = await engines.listCachedParts(getAddress(), new CancellationTokenSource().token);
    await waitForClose();
    engines.dispose();
    expect(list.isErr()).toBe(true);
    expect(Math.max(...sentBytes)).toBeLessThan(maxReceivedBytes);
});

// A router that starts while the store is unavailable fetches the records from its peers.
it("an endless snapshot of a peer is a failed call", async () => {
    const snapshot = await fetchSnapshot(getAddress());
    await waitForClose();
    expect(snapshot.isErr()).toBe(true);
    expect(Math.max(...sentBytes)).toBeLessThan(maxReceivedBytesOfPeer);
});
