import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { fetchHeldRequests, releaseHeldRequest } from "../../src/gateway/quarantine/heldRequestsApi.js";
import { createPromptHeaders, GatewayFixture, waitUntil, type CallerResponse } from "./gatewayFixture.js";

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
        fixture.current.routers.every(({ daemon }) => daemon.knownRouterCount === fixture.current.routers.length),
    );
}

async function sendFatal(id: string, router: number, path = "/plan/x"): Promise<CallerResponse> {
    const headers = createPromptHeaders(id);
    const answer = await fixture.current.send({ path, headers, body: fatalBody }, router);
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
    it("is refused by all routers once three targets have ended under it", async () => {
        await startFleet(8, 2);
        for (let index = 0; index < 4; index++) {
            await sendFatal(`fatal-${index}`, index % 2);
        }
        expect(countEnded()).toBe(3);
    });

    // Each router that has one under way when the first crash is known goes on; sent on freely, one for each id would end a target.
    it("runs at one place at a time once two targets have ended under it", async () => {
        await startFleet(8, 3);
        await sendFatal("fatal-1", 0, "/once/x");
        await sendFatal("fatal-2", 1, "/once/x");
        await Promise.all([0, 1, 2, 0, 1, 2].map((router, index) => sendFatal(`again-${index}`, router, "/once/x")));
        expect(countEnded()).toBeLessThanOrEqual(3);
    });

    it("runs once at a time at each router after the first crash", async () => {
        await startFleet(8, 2);
        await sendFatal("fatal-1", 0, "/once/x");
        const answers = await Promise.all(
            [0, 0, 0, 1, 1, 1].map((router, index) => sendFatal(`again-${index}`, router, "/once/x")),
        );
        expect(countEnded()).toBeLessThanOrEqual(3);
        expect(answers.filter(({ status }) => status === 503).length).toBeGreaterThanOrEqual(4);
    });

    // What routers know of it is in their memory alone; all restarted, they would learn it by three further crashes.
    it("stays refused where all routers are started anew", async () => {
        await startFleet(8, 1);
        await sendFatal("fatal-1", 0);
        await sendFatal("fatal-2", 0);
        fixture.current.routers.splice(0).forEach(({ daemon }) => daemon.dispose());
        await fixture.current.addRouter();
        const answer = await sendFatal("fatal-3", 0);
        expect({ status: answer.status, ended: countEnded() }).toEqual({ status: 502, ended: 3 });
    });

    // The store comes back from a copy without the record; routers that start later would learn it by three crashes again.
    it("stays refused where the store lost its record and all routers are started anew", async () => {
        await startFleet(8, 1);
        await sendFatal("fatal-1", 0);
        await sendFatal("fatal-2", 0);
        fixture.current.store.removeLast("keyed.quarantine", 1);
        await waitUntil(() => fixture.current.store.hasKeys("keyed.quarantine"));
        fixture.current.routers.splice(0).forEach(({ daemon }) => daemon.dispose());
        await fixture.current.addRouter();
        const answer = await sendFatal("fatal-3", 0);
        expect({ status: answer.status, ended: countEnded() }).toEqual({ status: 502, ended: 3 });
    });

    // Operators know that its cause is mended, and the next trial is minutes away.
    it("runs again at all routers once an operator has released it", async () => {
        await startFleet(8, 2);
        await sendFatal("fatal-1", 0);
        await sendFatal("fatal-2", 0);
        await sendFatal("fatal-3", 1);
        fixture.current.targets.forEach(target => (target.fatalBody = undefined));
        const address = fixture.current.routers[0].settings.control!;
        const held = (await fetchHeldRequests(address))._unsafeUnwrap();
        const isReleased = (await releaseHeldRequest(address, held[0].digest))._unsafeUnwrap();
        await waitUntil(async () => (await sendFatal("later", 1)).status === 200);
        expect({
            heldCount: held.length,
            isReleased,
            left: (await fetchHeldRequests(address))._unsafeUnwrap(),
        }).toEqual({
            heldCount: 1,
            isReleased: true,
            left: [],
        });
    });

    it("gets a final answer that says why, and no time to come back", async () => {
        await startFleet(6, 1);
        await sendFatal("fatal-1", 0);
        await sendFatal("fatal-2", 0);
        const { status, headers, body } = await sendFatal("fatal-3", 0);
        expect({ status, retryAfter: headers["retry-after"], body: JSON.parse(body) as unknown })
            .toMatchInlineSnapshot(`
          {
            "body": {
              "code": "crashes-targets",
              "status": 502,
              "title": "The request crashed the targets that ran it, and is not sent to further ones",
            },
            "retryAfter": undefined,
            "status": 502,
          }
        `);
    });

    it("leaves others of the same account and path alone", async () => {
        await startFleet(6, 1);
        await sendFatal("fatal-1", 0);
        await sendFatal("fatal-2", 0);
        const headers = createPromptHeaders("harmless");
        const answer = await fixture.current.send({ path: "/plan/x", headers, body: "another body" });
        expect(answer.status).toBe(200);
    });
});

describe("a request whose connections are reset by targets that go on", () => {
    // A reset link looks like a crash to the request; held for it, callers would be refused after a fault of the network.
    it("is served in the end, though more targets broke it off than a request is held for", async () => {
        const target = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter();
        target.scripts.push("break-off", "break-off", "break-off", "break-off");
        const answers: CallerResponse[] = [];
        for (let index = 0; index < 5; index++) {
            const headers = createPromptHeaders(`reset-${index}`);
            answers.push(await fixture.current.send({ path: "/once/x", headers, body: "same" }));
        }
        expect(answers.map(({ isIncomplete: isBroken }) => isBroken)).toEqual([true, true, true, true, false]);
    });
});
