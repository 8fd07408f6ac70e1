import { connect } from "node:net";
import { afterEach, beforeEach, expect, it } from "vitest";
import { GatewayFixture, host } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
/** Maximum bytes in the kernel's buffers of a loopback connection and read by a router of one request. */
const maxSentBytes = 12_000_000;
const filler = Buffer.alloc(16_384, "x");
const start = `POST /book/ HTTP/1.1\r\nHost: ${host}\r\n`;
const chunked = `${start}Transfer-Encoding: chunked\r\n\r\n`;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
    await fixture.current.addTarget("app", "app-1");
    await fixture.current.addRouter();
});

afterEach(() => fixture.current.dispose());

/** Sends bytes as fast as the connection accepts them until it is closed; returns the number of bytes sent. */
function sendEndlessly(before: string, repeated: Buffer): Promise<number> {
    const [address, port] = fixture.current.routers[0].settings.callers.split(":");
    return new Promise(resolve => {
        const socket = connect(Number(port), address);
        socket.on("error", () => undefined);
        socket.resume();
        socket.once("close", () => resolve(socket.bytesWritten - socket.writableLength));
        const write = (): void => {
            if (!socket.destroyed && socket.write(repeated)) {
                setImmediate(write);
            }
        };
        socket.on("drain", write);
        socket.write(before);
        write();
    });
}

// Each caller must be disconnected after a bounded number of bytes, and the router must still serve other callers.
it.each([
    ["request line", "", filler],
    ["path", "GET /", filler],
    ["header", `${start}X-Filler: `, filler],
    ["body with a length", `${start}Content-Length: 999999999999\r\n\r\n`, filler],
    ["body in chunks", chunked, Buffer.from(`4000\r\n${"x".repeat(16_384)}\r\n`)],
    ["chunk extension", `${chunked}4;x=`, filler],
    ["trailer", `${chunked}0\r\nX-Filler: `, filler],
    ["body behind a request", `${start}Content-Length: 1\r\n\r\nb`, filler],
] as const)("a caller that sends an endless %s is disconnected", async (...[, before, repeated]) => {
    expect(await sendEndlessly(before, repeated)).toBeLessThan(maxSentBytes);
    const response = await fixture.current.send({ path: "/book/", headers: { "x-lynxarch-attempt-id": "a1" } });
    expect(response.status).toBe(200);
});
