import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, it } from "vitest";
import { BodyBudget } from "../../src/decisions/limits/bodyBudget.js";
import { readCallerBody } from "../../src/router/callerBody.js";

const bodyBytes = 600;
const limits = { maxBytes: 800, budget: new BodyBudget(1_000) };
let server: Server;
let held: ServerResponse[] = [];

beforeEach(async () => {
    held = [];
    limits.budget = new BodyBudget(1_000);
    server = createServer((request, response) => {
        void readCallerBody(request, response, limits).then(body =>
            body.match(
                () => held.push(response),
                problem => response.writeHead(problem.status).end(problem.execution),
            ),
        );
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
});

afterEach(() => {
    server.closeAllConnections();
    server.close();
});

async function send(bytes: number): Promise<readonly [number, string]> {
    const { port } = server.address() as AddressInfo;
    const headers = { connection: "close" };
    const response = await fetch(`http://127.0.0.1:${port}`, { method: "POST", body: "x".repeat(bytes), headers });
    return [response.status, await response.text()];
}

// Guards against bodies of many requests that exhaust the memory although each is within its limit.
it("bodies are refused beyond the budget of all open requests, and read again once these have ended", async () => {
    const first = send(bodyBytes);
    await expect.poll(() => held.length).toBe(1);
    expect(await send(bodyBytes)).toEqual([503, "not-run"]);
    held.splice(0).forEach(response => response.end("first"));
    expect(await first).toEqual([200, "first"]);
    await expect.poll(() => limits.budget.bytes).toBe(0);
    const second = send(bodyBytes);
    await expect.poll(() => held.length).toBe(1);
    held.splice(0).forEach(response => response.end("second"));
    expect(await second).toEqual([200, "second"]);
});

it("a body larger than the limit of one request takes nothing of the budget", async () => {
    expect(await send(limits.maxBytes + 1)).toEqual([413, "not-run"]);
    expect(limits.budget.bytes).toBe(0);
});
