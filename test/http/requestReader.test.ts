import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { SystemClock } from "../../src/base/clock.js";
import { NoopLogger } from "../../src/base/log.js";
import { ClientConnectionGuard } from "../../src/http/clientConnectionGuard.js";
import { HttpConnections } from "../../src/http/httpConnections.js";
import { waitUntil } from "../gateway/gatewayFixture.js";

const maxHeldBytes = 600_000;
const unreadTimeoutMs = 1_200;
const maxBytesWithoutRequest = 131_072;
const maxConnections = 20;

interface OpenRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    body: string;
}

let server: Server;
let connections: HttpConnections;
let guard: ClientConnectionGuard;
let requests: OpenRequest[] = [];
let clients: Client[] = [];

class Client {
    public received = "";
    public isClosed = false;
    public readonly socket: Socket;

    public constructor() {
        this.socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        this.socket.on("data", (data: Buffer) => (this.received += data.toString()));
        this.socket.on("error", () => undefined);
        this.socket.once("close", () => (this.isClosed = true));
        clients.push(this);
    }

    /** Status codes of the responses so far. */
    public get statuses(): readonly string[] {
        return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
    }
}

function createGet(path: string): string {
    return `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
}

beforeEach(async () => {
    requests = [];
    clients = [];
    server = createServer((request, response) => {
        const open: OpenRequest = { request, response, body: "" };
        request.on("data", (data: Buffer) => (open.body += data.toString()));
        requests.push(open);
    });
    guard = new ClientConnectionGuard(new SystemClock(), new NoopLogger(), () => ({
        maxHeldBytes,
        unreadTimeoutMs,
        maxBytesWithoutRequest,
    }));
    connections = new HttpConnections(server, { guard, maxConnections });
    server.on("connection", (socket: Socket) => connections.add(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
});

afterEach(() => {
    clients.forEach(({ socket }) => socket.destroy());
    connections.closeAll();
});

describe("requests sent ahead on one connection", () => {
    // Guards against requests that are parsed, and take memory, long before they can be answered.
    it("are parsed one after the other, each once the response before it has been sent", async () => {
        const client = new Client();
        client.socket.write(["/1", "/2", "/3"].map(createGet).join(""));
        for (const count of [1, 2, 3]) {
            await waitUntil(() => requests.length === count);
            await new Promise(resolve => setTimeout(resolve, 20));
            expect(requests.length).toBe(count);
            requests[count - 1].response.end(`answer ${count}`);
        }
        await waitUntil(() => client.statuses.length === 3);
        expect(requests.map(({ request }) => request.url)).toEqual(["/1", "/2", "/3"]);
        expect(guard.statistics.heldConnections).toBe(0);
    });

    // Guards against bodies that are taken for the next request, or the other way round.
    it("keep their bodies, whatever these contain and however the bytes are cut", async () => {
        const body = "a\r\n\r\nGET /x HTTP/1.1\r\n\r\n\n\n";
        const text = [
            `POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
            `POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
            `\r\n${createGet("/3")}`,
        ].join("");
        for (let pieceLength = 1; pieceLength <= 64; pieceLength += 7) {
            requests = [];
            const client = new Client();
            client.socket.setNoDelay();
            for (let start = 0; start < text.length; start += pieceLength) {
                client.socket.write(text.slice(start, start + pieceLength));
                await new Promise(resolve => setImmediate(resolve));
            }
            for (const index of [0, 1, 2]) {
                await waitUntil(() => requests[index]?.request.complete === true);
                requests[index].response.end();
            }
            await waitUntil(() => client.statuses.length === 3);
            expect(requests.map(open => [open.request.url, open.body])).toEqual([
                ["/1", body],
                ["/2", body],
                ["/3", ""],
            ]);
        }
    });

    // Guards against a request that was passed on and gets no answer, as its connection is closed for what stands behind it.
    it("are dropped when the budget is exceeded, after the response to the request before them", async () => {
        const ahead = createGet("/ahead").repeat(1_000);
        const greedy = [...Array(8)].map(() => new Client());
        greedy.forEach(({ socket }) => socket.write(`${createGet("/first")}${ahead}`));
        await waitUntil(() => guard.statistics.closed["input-budget"] > 0);
        await waitUntil(() => requests.length === greedy.length);
        expect(guard.statistics.heldBytes).toBeLessThanOrEqual(maxHeldBytes);
        const dropped = guard.statistics.closed["input-budget"];
        requests.splice(0).forEach(({ response }) => response.end("first"));
        await waitUntil(() => greedy.filter(({ isClosed }) => isClosed).length >= dropped);
        expect(greedy.map(({ statuses }) => statuses[0])).toEqual(greedy.map(() => "200"));
    });
});

describe("a response with an unread request behind it", () => {
    // Guards against a reset that overtakes a response, as the client's further bytes were not read.
    it("reaches a client that goes on sending its body", async () => {
        const client = new Client();
        client.socket.pause();
        client.socket.write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n");
        await waitUntil(() => requests.length === 1);
        requests[0].request.pause();
        client.socket.write("x".repeat(2_000_000));
        requests[0].response.writeHead(413, { connection: "close", "content-length": "5" });
        requests[0].response.end("large");
        await new Promise(resolve => setTimeout(resolve, 100));
        client.socket.resume();
        await waitUntil(() => client.isClosed);
        expect(client.received.endsWith("large")).toBe(true);
    });
});

describe("places for connections", () => {
    // Guards against connections without a request that take the places of callers.
    it("are taken from those that have been idle longest, not from those that are served", async () => {
        const served = new Client();
        served.socket.write(createGet("/1"));
        await waitUntil(() => requests.length === 1);
        const idle = [...Array(maxConnections - 1)].map(() => new Client());
        await new Promise(resolve => setTimeout(resolve, 1_100));
        const late = new Client();
        late.socket.write(createGet("/2"));
        await waitUntil(() => requests.length === 2);
        requests.forEach(({ response }) => response.end());
        await waitUntil(() => served.statuses.length === 1 && late.statuses.length === 1);
        expect(idle.filter(({ isClosed }) => isClosed).length).toBe(1);
        expect(guard.statistics.closed["no-place"]).toBe(1);
    });

    // Guards against responses that are never read and keep their connections for ever.
    it("are taken from clients that read nothing of a response", async () => {
        const client = new Client();
        client.socket.pause();
        client.socket.write(createGet("/1"));
        await waitUntil(() => requests.length === 1);
        requests[0].response.end("x".repeat(20_000_000));
        await waitUntil(() => guard.statistics.closed["unread-response"] === 1);
        await waitUntil(() => requests[0].response.destroyed);
    });

    it("are given back by clients that send empty lines without end", async () => {
        const client = new Client();
        client.socket.write("\r\n".repeat(200_000));
        await waitUntil(() => client.isClosed);
        expect(guard.statistics.closed["no-request"]).toBe(1);
    });
});
