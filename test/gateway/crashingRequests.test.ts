import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPromptHeaders, GatewayFixture, waitUntil, type CallerAnswer } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const fatalBody = "ends whoever runs it";
/** News of a crash has reached all routers by then. */
const settleMs = 300;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

async function startFleet(targetCount: number, routerCount: number): Promise<void> {
    for (let index = 0; index < targetCount; index++) {
        const target = await fixture.current.addTarget("engines", `engine-${index}`);
        target.fatalBody = fatalBody;
    }
    for (let index = 0; index < routerCount; index++) {
        await fixture.current.addRouter();
    }
    await waitUntil(() =>
        fixture.current.routers.every(({ daemon }) => daemon.knownRouters === fixture.current.routers.length),
    );
}

async function sendFatal(id: string, router: number): Promise<CallerAnswer> {
    const headers = createPromptHeaders(id);
    const answer = await fixture.current.send({ path: "/plan/x", headers, body: fatalBody }, router);
    await new Promise(resolve => setTimeout(resolve, settleMs));
    // Their heartbeats are missing.
    for (const target of fixture.current.targets.filter(({ hasEnded }) => hasEnded)) {
        fixture.current.store.write("keyed.servers", target.instanceId, undefined);
    }
    return answer;
}

function countEnded(): number {
    return fixture.current.targets.filter(target => target.hasEnded).length;
}

describe("a request that ends each target that runs it", () => {
    // Each id of it has its own bound on attempts: it comes again with new ids at all routers and ends one target after the other.
    it.fails("is refused by all routers once three targets have ended under it", async () => {
        await startFleet(8, 2);
        for (let index = 0; index < 4; index++) {
            await sendFatal(`fatal-${index}`, index % 2);
        }
        expect(countEnded()).toBe(3);
    });
});
