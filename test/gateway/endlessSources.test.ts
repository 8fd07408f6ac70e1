import { createServer, type Server, type ServerResponse } from "node:http";
import { afterEach, beforeEach, expect, it } from "vitest";
import { SystemClock } from "../../src/base/clock.js";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { HttpEngineInspector } from "../../platform/httpEngineInspector.js";
import { fetchSnapshot } from "../../src/gateway/peers/snapshotApi.js";
import { StoreClient } from "../../platform/storeClient.js";

const filler = Buffer.alloc(16_384, "x");
/** The bound on a store's page, with what the kernel holds between two ends of a connection on loopback. */
const mostTakenBytes = 20_000_000;
/** The same for what a peer hands over. */
const mostTakenOfPeer = 30_000_000;
const server: { current: Server } = { current: createServer() };
let takenBytes: number[] = [];

beforeEach(async () => {
    takenBytes = [];
    server.current = createServer((request, response) => {
        request.socket.once("close", () =>
            takenBytes.push(request.socket.bytesWritten - request.socket.writableLength),
        );
        writeOn(response);
    });
    await new Promise<void>(resolve => server.current.listen(0, "127.0.0.1", () => resolve()));
});

afterEach(() => {
    server.current.close();
    server.current.closeAllConnections();
});

function writeOn(response: ServerResponse): void {
    if (!response.destroyed) {
        const goOn = (): void => void setImmediate(() => writeOn(response));
        if (response.write(filler)) {
            goOn();
        } else {
            response.once("drain", goOn);
        }
    }
}

function getAddress(): string {
    const address = server.current.address();
    return typeof address === "object" && address ? `127.0.0.1:${address.port}` : "";
}

async function waitForClose(): Promise<void> {
    while (takenBytes.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

// Held as a whole, an answer without end would fill a router's memory within seconds.
it("a store's page without end is a failed call", async () => {
    const client = new StoreClient(getAddress());
    const page = await client.readNewest("keyed.op", new CancellationTokenSource().token);
    await waitForClose();
    client.dispose();
    expect(page.isErr()).toBe(true);
    expect(Math.max(...takenBytes)).toBeLessThan(mostTakenBytes);
});

it("an engine's list without end is a failed call", async () => {
    const engines = new HttpEngineInspector(new SystemClock());
    const list = await engines.listCachedParts(getAddress(), new CancellationTokenSource().token);
    await waitForClose();
    engines.dispose();
    expect(list.isErr()).toBe(true);
    expect(Math.max(...takenBytes)).toBeLessThan(mostTakenBytes);
});

// A router that starts while the store is away asks its peers for the records.
it("a peer's records without end are a failed call", async () => {
    const snapshot = await fetchSnapshot(getAddress());
    await waitForClose();
    expect(snapshot.isErr()).toBe(true);
    expect(Math.max(...takenBytes)).toBeLessThan(mostTakenOfPeer);
});
