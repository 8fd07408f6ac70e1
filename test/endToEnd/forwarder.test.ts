import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { ProcessGroup, type StandIn } from "../fakes/processes.js";

const group = new ProcessGroup();
let service: StandIn;
let forwarder: StandIn;

async function send(path: string, value: object): Promise<Record<string, unknown>> {
    const response = await fetch(`${forwarder.url}${path}`, { method: "POST", body: JSON.stringify(value) });
    return (await response.json()) as Record<string, unknown>;
}

/** What a client sees through a route: the path the service saw, or that it got no answer. */
async function runCall(port: unknown, path: string, timeoutMs = 5_000): Promise<string> {
    try {
        const signal = AbortSignal.timeout(timeoutMs);
        const response = await fetch(`http://127.0.0.1:${String(port)}${path}`, { signal });
        return ((await response.json()) as { path: string }).path;
    } catch {
        return "no answer";
    }
}

beforeAll(async () => {
    [service, forwarder] = await Promise.all([
        group.startStandIn("service", "plainService", []),
        group.startStandIn("forwarder", "forwarder", []),
    ]);
});

afterAll(() => group.close());

describe("the forwarder", () => {
    it("cuts, freezes and heals one way and leaves the other alone", async () => {
        const to = `127.0.0.1:${service.port}`;
        const { port: first } = await send("/routes", { name: "a>service", to });
        const { port: second } = await send("/routes", { name: "b>service", to });
        const seen = [await runCall(first, "/open")];
        await send("/modes", { pattern: "^a>", mode: "cut" });
        seen.push(await runCall(first, "/cut"), await runCall(second, "/other"));
        await send("/modes", { pattern: "^a>", mode: "frozen" });
        const held = runCall(first, "/held");
        seen.push(await runCall(first, "/frozen", 200));
        await send("/modes", { pattern: "^a>", mode: "open" });
        seen.push(await held);
        expect(seen).toEqual(["/open", "no answer", "/other", "no answer", "/held"]);
    });

    it("replaces texts of equal length, so that one party sees another's address", async () => {
        const replacements = [["/address-1", "/address-2"]];
        const { port } = await send("/routes", { name: "c>service", to: `127.0.0.1:${service.port}`, replacements });
        expect(await runCall(port, "/address-1/address-3")).toBe("/address-2/address-3");
    });
});
