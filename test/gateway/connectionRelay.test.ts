import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { afterEach, expect, it } from "vitest";
import { acceptByte, ConnectionRelay } from "../../src/gateway/connectionRelay.js";

const runs = 20;
const ip = "127.0.0.1";
const response = "HTTP/1.0 200 OK\r\n\r\nfirst part";
const servers: Server[] = [];
const sockets: Socket[] = [];

afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy());
    servers.splice(0).forEach(server => server.close());
});

async function listen(handle: (socket: Socket) => void): Promise<number> {
    const server = createServer({ allowHalfOpen: true }, socket => {
        socket.on("error", () => undefined);
        sockets.push(socket);
        handle(socket);
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, ip, () => resolve()));
    return (server.address() as AddressInfo).port;
}

/** Sends a request over the port and resolves to the response, with "reset" behind it if the connection was reset. */
function sendRequest(port: number): Promise<string> {
    return new Promise(resolve => {
        const socket = connect(port, ip);
        let received = "";
        socket.on("data", (data: Buffer) => (received += data.toString()));
        let isReset = false;
        socket.on("error", () => (isReset = true));
        socket.on("end", () => (isReset = socket.remotePort === undefined));
        socket.on("close", () => resolve(isReset ? `${received} reset` : received));
        socket.write("GET / HTTP/1.0\r\n\r\n");
    });
}

// A response to an HTTP/1.0 caller may end with its connection; after a clean close its caller takes a part for the whole.
it.each(["end", "reset"] as const)("a forwarded connection ends as the neighbour's does (%s)", async how => {
    const neighbourPort = await listen(socket => {
        socket.write(acceptByte);
        socket.once("data", () => {
            socket.write(response, () => (how === "end" ? socket.end() : socket.resetAndDestroy()));
        });
    });
    const relay = new ConnectionRelay(ip, neighbourPort);
    const observer = { handleHandedOver: () => undefined, handleUnreachable: (socket: Socket) => socket.destroy() };
    const port = await listen(socket => relay.add(socket, ip, observer));
    const outcomes = new Set<string>();
    for (let run = 0; run < runs; run++) {
        // The reset may discard what the caller has not read yet.
        outcomes.add((await sendRequest(port)).replace(response, ""));
    }
    expect([...outcomes]).toEqual([how === "end" ? "" : " reset"]);
});
