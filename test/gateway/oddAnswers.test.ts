import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { SystemClock } from "../../src/base/clock.js";
import { HttpEngineInspector } from "../../platform/httpEngineInspector.js";
import { TruncatingServer } from "../fakes/usersPlatform/truncatingServer.js";
import { createPromptHeaders, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const server = { current: new TruncatingServer() };
const fixture = { current: new GatewayFixture() };

beforeEach(async () => {
    server.current = new TruncatingServer();
    await server.current.start();
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => {
    server.current.dispose();
    fixture.current.dispose();
});

/** The parts that are read from a list with these rows, each a JSON text; "none" if the list is an error. */
async function readParts(rows: readonly string[]): Promise<readonly string[] | "none"> {
    const body = `{"epoch":1,"next":0,"held":[${rows.join(",")}]}`;
    server.current.response = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    const inspector = new HttpEngineInspector(new SystemClock());
    const list = await inspector.listCachedParts(server.current.address, new CancellationTokenSource().token);
    inspector.dispose();
    return list.match(
        ({ parts }) => parts.map(({ id, tokens }) => `${id}:${tokens}`),
        () => "none" as const,
    );
}

describe("an engine's list of cached parts", () => {
    // The other rows hold; without them a starting router would send prompts away from the engines that have their parts.
    it("is read without its malformed rows", async () => {
        const nested = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;
        const tokens = ["1.5", "0", "-3", "1e300", "1e999", "null", '"8"', nested];
        const rows = tokens.map((count, index) => `["","odd-${index}",${count},"m"]`);
        expect(await readParts(['["","aa",800,"m"]', ...rows, "7", nested, "{}", "[]", '["","bb",200]'])).toEqual([
            "aa:800",
            "bb:200",
        ]);
    });

    // Nothing awaits the lists, so that an exception ends the router, at each of its starts.
    it.each([1.5, -0.5, 1e300])("with a part of %d tokens does not end a starting router", async tokens => {
        const engine = await fixture.current.addTarget("engines", "engine-1");
        engine.heldParts = [
            ["aa", tokens],
            ["cc", 100],
        ];
        await fixture.current.addRouter();
        await waitUntil(() => engine.listCalls > 0);
        const { status } = await fixture.current.send({ path: "/once/x", headers: createPromptHeaders("a1") });
        expect(status).toBe(200);
    });
});
