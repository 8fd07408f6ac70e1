import { connect, createServer, type AddressInfo, type Server } from "node:net";
import { afterEach, beforeEach, expect, it } from "vitest";
import { Route } from "./route.js";

const server = { current: createServer() };

beforeEach(() => {
    server.current = createServer(socket => {
        socket.write("bytes");
        setTimeout(() => socket.resetAndDestroy(), 20);
    });
    return new Promise<void>(resolve => server.current.listen(0, "127.0.0.1", () => resolve()));
});

afterEach(() => void server.current.close());

function getPort(listening: Server): number {
    return (listening.address() as AddressInfo).port;
}

// A target resets its connection while the way back is frozen; told as a clean end, an answer without a length passes for whole.
it("passes a reset on as one when it came while the way back was frozen", async () => {
    const route = new Route("127.0.0.1", getPort(server.current), []);
    const port = await route.listen(0);
    route.setMode("frozen-back");
    const ending = await new Promise<string>(resolve => {
        const socket = connect(port, "127.0.0.1");
        socket.on("connect", () => setTimeout(() => route.setMode("open"), 100));
        socket.on("data", () => undefined);
        socket.on("error", () => resolve("reset"));
        // Right behind bytes Node tells a reset as an end; the kernel knows no peer then.
        socket.on("end", () => resolve(socket.remotePort === undefined ? "reset" : "end"));
    });
    route.dispose();
    expect(ending).toBe("reset");
});
