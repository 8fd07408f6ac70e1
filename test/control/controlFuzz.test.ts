import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createControlApp } from "../../src/control/server.js";
import type { ControlHost } from "../../src/control/host.js";
import { documentSchema } from "../../src/document/schema.js";
import { parseSettings } from "../../src/daemon/settings.js";

const secret = "a-secret-of-the-fleet";
const settings = { seed: 20_261_202, numRuns: 200 };

function createHost(calls: string[]): ControlHost {
    const unused = (): never => {
        throw new Error("not part of this test");
    };
    return {
        getStatus: unused,
        listEvents: () => ({ events: [], firstSequence: 1 }),
        listShares: () => [],
        getDocument: () => undefined,
        listRoster: () => [],
        agent: {
            handleExchange: unused,
            withdrawWork: requestId => {
                calls.push(requestId);
                return false;
            },
        },
    };
}

describe("the control API", () => {
    // Whoever reaches a daemon's port without the secret must learn and change nothing, whatever the header looks like.
    it("refuses any caller without the secret", async () => {
        const calls: string[] = [];
        const app = createControlApp(createHost(calls), { isReady: () => true }, secret);
        const header = fc.oneof(
            fc.stringMatching(/^[!-~]{1,60}$/),
            fc.constantFrom("Bearer", `bearer ${secret}`, `Bearer ${secret}1`, secret, `Basic ${secret}`),
        );
        await fc.assert(
            fc.asyncProperty(header, async authorization => {
                const body = JSON.stringify({ requestId: "r" });
                const headers = { authorization, "content-type": "application/json" };
                const response = await app.request("/trpc/withdraw", { method: "POST", headers, body });
                expect(response.status).toBe(401);
            }),
            settings,
        );
        expect(calls).toEqual([]);
    });

    it("names a fault of any input and shows no stack", async () => {
        const app = createControlApp(createHost([]), { isReady: () => true }, secret);
        const headers = { authorization: `Bearer ${secret}`, "content-type": "application/json" };
        const procedure = fc.constantFrom("exchange", "withdraw", "events", "nothing", "../healthz");
        await fc.assert(
            fc.asyncProperty(procedure, fc.oneof(fc.json(), fc.string()), async (name, body) => {
                const response = await app.request(`/trpc/${name}`, { method: "POST", headers, body });
                expect(response.status).toBeLessThan(500);
                expect(await response.text()).not.toMatch(/at .*\.(ts|js):\d+|node_modules/);
            }),
            settings,
        );
    });
});

describe("documents and settings", () => {
    it("are taken or refused, whatever they hold", () => {
        fc.assert(
            fc.property(fc.anything(), value => {
                documentSchema.safeParse(value);
                parseSettings(value, "file");
            }),
            settings,
        );
    });
});
