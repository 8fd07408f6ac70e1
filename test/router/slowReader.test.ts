import { createServer, type Server, type ServerResponse } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { FrameWriter } from "../../src/agent/frameWriter.js";
import { CallerConnection } from "../../src/router/callerConnection.js";

const chunk = "x".repeat(64 * 1024);
const offeredChunks = 2_000;
/** The kernel's buffers take some megabytes; a process that buffers by itself would take all 125 MB. */
const mostBytesTaken = 32 * 1024 * 1024;
const stuckAfterMs = 1_000;

let server: Server;
let socket: Socket;

afterEach(() => {
    socket.destroy();
    server.close();
});

/** Serves one request to a client that sends it and never reads. */
async function openSilentReader(): Promise<ServerResponse> {
    return await new Promise(resolve => {
        server = createServer((...[, response]) => resolve(response));
        server.listen(0, "127.0.0.1", () => {
            socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
            socket.pause();
            socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        });
    });
}

/** Writes until a write does not settle; returns the bytes taken, those that the process holds itself, and listeners. */
async function writeUntilStuck(
    response: ServerResponse,
    write: () => Promise<void>,
): Promise<{ taken: number; held: number; listeners: number }> {
    let taken = 0;
    for (let index = 0; index < offeredChunks; index++) {
        const stuck = new Promise<"stuck">(resolve => setTimeout(() => resolve("stuck"), stuckAfterMs).unref());
        if ((await Promise.race([write(), stuck])) === "stuck") {
            break;
        }
        taken += chunk.length;
    }
    return { taken, held: response.writableLength, listeners: response.listenerCount("close") };
}

// A caller on a bad line asks for a long answer and reads a little of it. If each hop took what the one before has, the
// answer would pile up in the router's memory, and some hundred such callers would end it. Each hop must stop instead.
// (A slow machine can only make the verdict "stuck" come earlier, which changes nothing.)
describe("a reader that does not read", () => {
    it("stops what an agent writes to a router", async () => {
        const response = await openSilentReader();
        const writer = new FrameWriter(response, () => undefined);
        const frame = { type: "chunk", sequence: 0, data: chunk } as const;
        const { taken, held, listeners } = await writeUntilStuck(response, () => writer.write(frame));
        expect([taken < mostBytesTaken, held < 2 * chunk.length, listeners < 10]).toEqual([true, true, true]);
    });

    it("stops what a router writes to a caller", async () => {
        const response = await openSilentReader();
        const connection = new CallerConnection(response, "id", false, () => undefined);
        connection.writeHead(200, {});
        const { taken, held, listeners } = await writeUntilStuck(response, () => connection.write(chunk));
        expect([taken < mostBytesTaken, held < 2 * chunk.length, listeners < 10]).toEqual([true, true, true]);
    });
});
