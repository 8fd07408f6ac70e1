import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { LoadSource } from "../../../src/gateway/loadMonitor.js";
import { createPromptHeaders, GatewayFixture, idleLoad, waitUntil, type CallerResponse } from "../gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const saturatedLoad: LoadSource = { ...idleLoad, loop: { delayMs: 20, utilization: 1, recentUtilization: 1 } };
const limits = { memoryMb: 350, maxDescriptors: 4_000 };
const requestCount = 60;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

/** Starts a small saturated router, and a large one with the given load. */
async function startRouters(neighbourLoad: LoadSource, returnsRequests = true): Promise<void> {
    const settings = { returnsRequests };
    await fixture.current.addRouter({ ...settings, limits: { ...limits, processorShare: 0.2 } }, true, saturatedLoad);
    await fixture.current.addRouter({ ...settings, limits: { ...limits, processorShare: 1.35 } }, true, neighbourLoad);
    await waitUntil(() => fixture.current.routers.every(({ daemon }) => daemon.knownRouterCount === 2));
}

async function sendAll(body: string, isChunked = false): Promise<readonly CallerResponse[]> {
    const responses: CallerResponse[] = [];
    for (let index = 0; index < requestCount; index++) {
        const headers = createPromptHeaders(`a${index}`);
        responses.push(await fixture.current.send({ path: "/plan/x", headers, body, isChunked }));
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    return responses;
}

function listReturned(responses: readonly CallerResponse[]): readonly CallerResponse[] {
    return responses.filter(({ status }) => status === 503);
}

describe("a saturated small router", () => {
    // Callers of the data centre's smallest router got no connection while its larger neighbours were idle.
    it.each([
        ["with a length", false],
        ["in chunks", true],
    ])(
        "returns most requests with a body %s for a retry at another router, without sending them on",
        async (...[, isChunked]) => {
            const target = await fixture.current.addTarget("engines", "engine-1");
            await startRouters(idleLoad);
            const responses = await sendAll("x".repeat(100_000), isChunked);
            const returned = listReturned(responses);
            expect(returned.length).toBeGreaterThan(requestCount / 2);
            expect(target.received.length).toBe(requestCount - returned.length);
            for (const { headers, body, isIncomplete } of returned) {
                expect({ connection: headers.connection, code: JSON.parse(body).code, isIncomplete }).toEqual({
                    connection: "close",
                    code: "returned",
                    isIncomplete: false,
                });
                expect(Number(headers["retry-after"])).toBeLessThan(0.1);
                expect(headers["x-lynxarch-attempt-id"]).toMatch(/^a\d+$/);
            }
        },
    );

    // The retry of a returned request would be refused by the next router as well.
    it("serves its requests while its neighbours are saturated too", async () => {
        await fixture.current.addTarget("engines", "engine-1");
        await startRouters(saturatedLoad);
        await waitUntil(
            async () =>
                listReturned([await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("w") })])
                    .length === 0,
        );
        expect(listReturned(await sendAll("b"))).toEqual([]);
    });

    it("serves its requests where the setting is off", async () => {
        await fixture.current.addTarget("engines", "engine-1");
        await startRouters(idleLoad, false);
        expect(listReturned(await sendAll("b"))).toEqual([]);
    });
});
