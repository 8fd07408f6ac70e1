import { Agent } from "node:http";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPromptHeaders, GatewayFixture } from "../gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
/** Places for 25 callers' connections; from the 16th on, idle ones are closed. */
const limits = { memoryMb: 350, maxDescriptors: 50 };
const agents: Agent[] = [];
const idleCount = 14;
const streamCount = 20;
/** Longer than connections are kept after a request. */
const idleMs = 400;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
    await fixture.current.addTarget("app", "app-1");
    const engine = await fixture.current.addTarget("engines", "engine-1", { slots: 64 });
    engine.eventPauseMs = 60;
});

afterEach(() => {
    agents.splice(0).forEach(agent => agent.destroy());
    fixture.current.dispose();
});

/** Sends a request on a connection of its own, which stays open; the status, or why there was no response. */
function sendOnKeptConnection(path: string, id: string): Promise<number | string> {
    const agent = new Agent({ keepAlive: true });
    agents.push(agent);
    return fixture.current.send({ path, headers: createPromptHeaders(id), agent }).then(
        ({ status }) => status,
        (error: Error) => error.message,
    );
}

/** Leaves idle connections at the router, and then opens as many at once as fit without them; the number of served requests. */
async function countServed(closesIdleConnections: boolean): Promise<number> {
    await fixture.current.addRouter({ limits, closesIdleConnections });
    for (let index = 0; index < idleCount; index++) {
        await sendOnKeptConnection("/find/", `idle-${index}`);
    }
    await new Promise(resolve => setTimeout(resolve, idleMs));
    const calls = Array.from({ length: streamCount }, (...[, index]) => sendOnKeptConnection("/plan/x", `s-${index}`));
    return (await Promise.all(calls)).filter(status => status === 200).length;
}

describe("a router whose places for connections are taken by idle ones", () => {
    // Callers that left their connections idle took all places, and each further caller's connection was closed unread.
    it("closes those that have been idle longest for new ones", async () => {
        expect(await countServed(true)).toBe(streamCount);
    });

    it("keeps them where the setting is off", async () => {
        expect(await countServed(false)).toBeLessThan(streamCount);
    });
});
