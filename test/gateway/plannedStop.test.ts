import { createServer, type Server } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { findFreePort, GatewayFixture, host, key, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const piece = Buffer.alloc(16_384, "x");
/** Bytes that wait in the router for a reader before the response is ended. */
const minUnsentBytes = 200_000;
const minMs = 10;
let target: SlowlyReadTarget;
const sockets: Socket[] = [];

/** A target whose responses grow until {@link isLongEnough}, so that they exceed the kernel's buffers of any machine. */
class SlowlyReadTarget {
    private readonly server: Server;
    private sentBytes = 0;
    public isLongEnough = false;
    public hasEnded = false;

    public constructor() {
        this.server = createServer((request, response) => {
            request.resume();
            response.writeHead(200, {
                "X-Lynxarch-Attempt-Id": request.headers["x-lynxarch-attempt-id"],
                "X-Lynxarch-Engine-Stamp": "s",
            });
            const send = (): void => {
                if (this.isLongEnough) {
                    response.end(() => (this.hasEnded = true));
                } else {
                    this.sentBytes += piece.length;
                    response.write(piece);
                    setTimeout(send, 1);
                }
            };
            send();
        });
    }

    public get totalBytes(): number {
        return this.sentBytes;
    }

    public async start(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", () => resolve()));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
    target = new SlowlyReadTarget();
    const entry = { service: "app", address: await target.start(), zone: "dc-a", version: "v1", slots: 50 };
    const born = 1_700_000_000_000;
    fixture.current.store.write("keyed.servers", "slow", { ...entry, state: "ready", seqno: 1, born });
});

afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy());
    target.dispose();
    fixture.current.dispose();
});

async function fetchUnsentBytes(metricsPort: number): Promise<number> {
    const page = await (await fetch(`http://127.0.0.1:${metricsPort}/metrics`)).text();
    return Number(/^lynxarch_unsent_bytes (\d+)/m.exec(page)?.[1]);
}

/** Sends a request whose response the router then holds for its caller, who reads nothing yet. */
async function startSlowResponse(changes: object = {}): Promise<Socket> {
    const metricsPort = await findFreePort();
    await fixture.current.addRouter({ metricsPort, ...changes });
    const [{ settings }] = fixture.current.routers;
    const [address, port] = settings.callers.split(":");
    const socket = connect(Number(port), address).pause();
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.write(
        `GET /book/ HTTP/1.1\r\nHost: ${host}\r\nAuthorization: Bearer ${key}\r\nX-Lynxarch-Attempt-Id: a1\r\n` +
            `X-Lynxarch-Deadline-Ms: 60000\r\n\r\n`,
    );
    await waitUntil(async () => (await fetchUnsentBytes(metricsPort)) > minUnsentBytes);
    target.isLongEnough = true;
    await waitUntil(() => target.hasEnded);
    return socket;
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

describe("a router that stops while a caller has not read its response", () => {
    // The router must not take a response for sent because its end has been written: its caller would get a part of it.
    it("sends the rest before it closes connections and exits", async () => {
        const socket = await startSlowResponse();
        const { daemon } = fixture.current.routers[0];
        let hasStopped = false;
        const stopped = daemon.stop().then(() => {
            hasStopped = true;
            daemon.dispose();
        });
        // Listeners close once the balancer has withdrawn the router.
        const { settings } = fixture.current.routers[0];
        const [address, port] = settings.callers.split(":");
        await waitUntil(() => hasRefused(Number(port), address));
        await sleep(minMs);
        const hadStoppedBefore = hasStopped;
        const closed = new Promise(resolve => socket.once("close", resolve));
        let received = "";
        socket.on("data", (chunk: Buffer) => (received += chunk.toString("latin1")));
        socket.resume();
        await Promise.all([closed, stopped]);
        expect(hadStoppedBefore).toBe(false);
        expect(received.endsWith("0\r\n\r\n")).toBe(true);
        expect(received.split("x").length - 1).toBeGreaterThanOrEqual(target.totalBytes);
    });

    // A caller that never reads must not keep the process alive until it is killed.
    it("ends within its grace period if the caller never reads", async () => {
        await startSlowResponse({ stopGraceSeconds: 4 });
        const { daemon } = fixture.current.routers[0];
        await daemon.stop();
        expect(sockets[0].destroyed).toBe(false);
    });
});

/** Whether new connections are refused. */
function hasRefused(port: number, address: string): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, address, () => {
            socket.destroy();
            resolve(false);
        });
        socket.once("error", () => resolve(true));
    });
}
