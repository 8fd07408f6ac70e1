import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import { createPromptHeaders, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
/** Beyond the time after which a leaving target may get nothing more; milliseconds. */
const drainMs = 500;
const requestCount = 8;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function sendPrompts(prefix: string, router = 0): Promise<readonly number[]> {
    const statuses: number[] = [];
    for (let index = 0; index < requestCount; index++) {
        const headers = createPromptHeaders(`${prefix}-${index}`, { "x-lynxarch-prefix-hash": `c${index}:1000` });
        statuses.push((await fixture.current.send({ path: "/plan/x", headers }, router)).status);
    }
    return statuses;
}

function sendTogether(prefix: string, count: number): Promise<unknown> {
    return Promise.all(
        Array.from({ length: count }, (...[, index]) => {
            const headers = createPromptHeaders(`${prefix}-${index}`, { "x-lynxarch-prefix-hash": `c${index}:1000` });
            return fixture.current.send({ path: "/plan/x", headers });
        }),
    );
}

function parseCode(body: string): string {
    return (JSON.parse(body) as { readonly code: string }).code;
}

/** A router, and two engines the first of which leaves once the store is silent. */
async function startLeaving(): Promise<readonly [leaving: TargetServer, staying: TargetServer]> {
    const leaving = await fixture.current.addTarget("engines", "engine-1");
    const staying = await fixture.current.addTarget("engines", "engine-2");
    await fixture.current.addRouter();
    await waitUntil(() => leaving.listCalls > 0 && staying.listCalls > 0);
    fixture.current.store.condition = "silent";
    leaving.isLeaving = true;
    return [leaving, staying];
}

describe("a target that only its answers tell is leaving", () => {
    // With the store away its record stays as it was; a router that goes by the record alone sends on to a target that ends.
    it("gets nothing more while the store is away", async () => {
        const [leaving] = await startLeaving();
        await sendPrompts("before");
        expect(leaving.received.length).toBeGreaterThan(0);
        await sleep(drainMs);
        leaving.received.length = 0;
        expect(await sendPrompts("after")).toEqual(new Array(requestCount).fill(200));
        expect(leaving.received.length).toBe(0);
    });

    // A stream may last longer than the target has left; noticed at its end, the signal comes too late.
    it("is noticed when the head of a stream arrives", async () => {
        const [leaving, staying] = await startLeaving();
        leaving.eventPauseMs = 300;
        staying.eventPauseMs = 300;
        const answers = sendTogether("streams", requestCount);
        await waitUntil(() => leaving.received.length > 0);
        await sleep(drainMs);
        leaving.received.length = 0;
        await sendTogether("after", 2);
        expect(leaving.received.length).toBe(0);
        await answers;
    });

    it.each(["shed", "error"] as const)("is noticed by an answer of the kind %s", async script => {
        const [leaving] = await startLeaving();
        leaving.usual = script;
        await sendPrompts(script);
        expect(leaving.received.length).toBe(1);
    });

    // Its record lapses while the store is away and returns as it was: taken for news, it would get requests again.
    it("gets nothing when its record lapses and returns as ready", async () => {
        const [leaving] = await startLeaving();
        await sendPrompts("before");
        fixture.current.store.write("keyed.servers", leaving.instanceId, undefined);
        fixture.current.store.condition = "up";
        await sleep(drainMs);
        fixture.current.addEntry(leaving, "engines");
        await sleep(drainMs);
        leaving.received.length = 0;
        await sendPrompts("after");
        expect(leaving.received.length).toBe(0);
    });

    // The answer of the start before arrives late; taken for the new start's, it would keep that one idle for good.
    it("gets requests though an answer of its start before says so", async () => {
        const target = await fixture.current.addTarget("app", "app-1");
        await fixture.current.addRouter();
        target.workMs = 2 * drainMs;
        target.isLeaving = true;
        const late = fixture.current.send({ path: "/find/late", method: "GET", headers: createPromptHeaders("late") });
        await waitUntil(() => target.received.length > 0);
        fixture.current.addEntry(target, "app", { born: 1_700_000_009_000 });
        target.isLeaving = false;
        await late;
        target.workMs = 0;
        await waitUntil(async () => {
            const answer = await fixture.current.send({ path: "/find/x", headers: createPromptHeaders("again") });
            return answer.status === 200;
        });
    });

    // A mark that stays with the id would keep a target that has started anew idle for good.
    it("gets requests again once it has started anew under its id", async () => {
        const [leaving] = await startLeaving();
        await sendPrompts("before");
        leaving.isLeaving = false;
        leaving.received.length = 0;
        fixture.current.store.condition = "up";
        fixture.current.addEntry(leaving, "engines", { born: 1_700_000_009_000 });
        await waitUntil(async () => (await sendPrompts("after")) && leaving.received.length > 0);
    });

    // The store comes back from a copy that holds the record of the start before; by that record the target would be another one.
    it("gets nothing when the store comes back with the record of an earlier start", async () => {
        const leaving = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addTarget("engines", "engine-2");
        await fixture.current.addRouter();
        fixture.current.addEntry(leaving, "engines", { born: 1_700_000_009_000 });
        await sleep(drainMs);
        leaving.isLeaving = true;
        await waitUntil(async () => (await sendPrompts("before")) && leaving.received.length > 0);
        fixture.current.store.removeLast("keyed.servers", 1);
        await sleep(3 * drainMs);
        leaving.received.length = 0;
        await sendPrompts("after");
        expect(leaving.received.length).toBe(0);
    });

    // An answer at an address that was given away speaks of the target that has it now.
    it("is not the one whose address answers for another target", async () => {
        const [leaving, staying] = await startLeaving();
        leaving.instanceId = "another";
        await sendPrompts("moved");
        leaving.isLeaving = false;
        expect([leaving.ran.length, staying.ran.length]).toEqual([0, requestCount]);
    });

    // A router that got no answer of it would send requests to a target that is about to end.
    it("gets nothing from routers that learnt it from others, also from one that starts later", async () => {
        const [leaving] = await startLeaving();
        fixture.current.store.condition = "up";
        await fixture.current.addRouter();
        fixture.current.store.condition = "silent";
        await waitUntil(() => fixture.current.routers.every(({ daemon }) => daemon.knownRouterCount === 2));
        await sendPrompts("before", 0);
        await sleep(drainMs);
        await fixture.current.addRouter();
        await waitUntil(() => fixture.current.routers.every(({ daemon }) => daemon.knownRouterCount === 3));
        await sleep(drainMs);
        leaving.received.length = 0;
        await sendPrompts("second", 1);
        await sendPrompts("third", 2);
        expect(leaving.received.length).toBe(0);
    });

    // All targets of a service leave while their successors are unknown: what can't be served is refused at once.
    it("leaves its service without targets, and requests are refused with a time to return", async () => {
        const [leaving, staying] = await startLeaving();
        staying.isLeaving = true;
        await sendPrompts("before");
        leaving.received.length = 0;
        staying.received.length = 0;
        const headers = createPromptHeaders("refused");
        const answer = await fixture.current.send({ path: "/plan/x", headers });
        expect({
            status: answer.status,
            retryAfter: answer.headers["retry-after"],
            code: parseCode(answer.body),
        }).toMatchInlineSnapshot(`
          {
            "code": "no-target",
            "retryAfter": "0.30",
            "status": 503,
          }
        `);
        expect(leaving.received.length + staying.received.length).toBe(0);
    });
});
