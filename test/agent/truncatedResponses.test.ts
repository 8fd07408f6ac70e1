import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { z } from "zod";
import { Agent } from "undici";
import { TargetConnection } from "../../src/agent/targetConnection.js";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { sendJson } from "../../src/infrastructure/httpJson.js";
import { TruncatingServer, type CloseKind } from "../fakes/usersPlatform/truncatingServer.js";

const server = { current: new TruncatingServer() };
const { token } = new CancellationTokenSource();
const status = "HTTP/1.1 200 OK\r\n";
const closeKinds: readonly CloseKind[] = ["end", "reset"];

beforeEach(async () => {
    server.current = new TruncatingServer();
    await server.current.start();
});

afterEach(() => server.current.dispose());

/** Reads a target's whole response; "failed" if it is an error. */
async function readResponse(): Promise<string> {
    const [response] = await readResponses(1);
    return response;
}

/** Reads several responses, one after the other. */
async function readResponses(count: number): Promise<readonly string[]> {
    const connection = new TargetConnection(`http://${server.current.address}`);
    const bodies: string[] = [];
    for (let index = 0; index < count; index++) {
        const body = connection.send("/", { method: "GET" }, token).then(response => response.body.text());
        bodies.push(await body.catch(() => "failed"));
    }
    connection.dispose();
    return bodies;
}

describe("a target's response at an agent", () => {
    it.each(closeKinds)("whose head is cut off at any byte is a failure (%s)", async closeKind => {
        server.current.closeKind = closeKind;
        const head = `${status}Content-Type: text/plain\r\nConnection: close\r\n\r\n`;
        const outcomes = new Set<string>();
        for (let length = 0; length < head.length; length++) {
            server.current.response = head.slice(0, length);
            outcomes.add(await readResponse());
        }
        expect([...outcomes]).toEqual(["failed"]);
    });

    // Callers would get the first part of the body, framed as whole.
    it("without a length is a failure if its connection is reset", async () => {
        server.current.closeKind = "reset";
        server.current.response = `${status}Connection: close\r\n\r\nfirst part`;
        const outcomes = new Set<string>();
        for (let run = 0; run < 20; run++) {
            outcomes.add(await readResponse());
        }
        expect([...outcomes]).toEqual(["failed"]);
    });

    // A response without content, read as one that ends with its connection, hid the reset of the next response.
    it.each(["204 No Content", "304 Not Modified"])("is a failure after a reset behind a %s", async kept => {
        server.current.closeKind = "reset";
        server.current.response = `${status}Connection: close\r\n\r\nfirst part`;
        const outcomes = new Set<string>();
        for (let run = 0; run < 20; run++) {
            // The pool uses two connections in turn.
            const response = `HTTP/1.1 ${kept}\r\nKeep-Alive: timeout=5\r\n\r\n`;
            server.current.keptResponses.push(response, response);
            const bodies = await readResponses(4);
            outcomes.add(bodies.join(", "));
        }
        expect([...outcomes]).toEqual([", , failed, failed"]);
    });

    it("without a length is whole if its connection is closed", async () => {
        server.current.response = `${status}Connection: close\r\n\r\nwhole`;
        expect(await readResponse()).toBe("whole");
    });
});

describe("a call to the platform whose response head is cut off", () => {
    it.each(closeKinds)("is a failure (%s)", async closeKind => {
        server.current.closeKind = closeKind;
        server.current.response = `${status}Content-Type: application/json\r\nContent-Length: 2\r\n`;
        const dispatcher = new Agent();
        const url = `http://${server.current.address}/`;
        const call = { service: "log", dispatcher, method: "GET", url, timeoutMs: 2_000, schema: z.unknown() } as const;
        expect((await sendJson(call, token)).isErr()).toBe(true);
        await dispatcher.destroy();
    });
});
