import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import { createPromptHeaders, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
/** Longer than the time after which a leaving target may receive no more requests; milliseconds. */
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

/** Starts a router and two engines; the first engine reports that it is leaving once the store is unresponsive. */
async function startLeaving(): Promise<readonly [leaving: TargetServer, staying: TargetServer]> {
    const leaving = await fixture.current.addTarget("engines", "engine-1");
    const staying = await fixture.current.addTarget("engines", "engine-2");
    await fixture.current.addRouter();
    await waitUntil(() => leaving.listCalls > 0 && staying.listCalls > 0);
    fixture.current.store.condition = "silent";
    leaving.isLeaving = true;
    return [leaving, staying];
}

describe("a target that reports only in its responses that it is leaving", () => {
    // While the store is unavailable, the target's record doesn't change. A router that uses only the record keeps sending requests to a
    // target that is about to end.
    it("receives no more requests while the store is unavailable", async () => {
        const [leaving] = await startLeaving();
        await sendPrompts("before");
        expect(leaving.received.length).toBeGreaterThan(0);
        await sleep(drainMs);
        leaving.received.length = 0;
        expect(await sendPrompts("after")).toEqual(new Array(requestCount).fill(200));
        expect(leaving.received.length).toBe(0);
    });

    // A stream may last longer than the target's remaining time, so a signal evaluated at the end of the stream would be too late.
    it("is detected when the head of a stream arrives", async () => {
        const [leaving, staying] = await startLeaving();
        leaving.eventPauseMs = 300;
        staying.eventPauseMs = 300;
        const responses = sendTogether("streams", requestCount);
        await waitUntil(() => leaving.received.length > 0);
        await sleep(drainMs);
        leaving.received.length = 0;
        await sendTogether("after", 2);
        expect(leaving.received.length).toBe(0);
        await responses;
    });

    it.each(["shed", "error"] as const)("is detected by a response of the kind %s", async script => {
        const [leaving] = await startLeaving();
        leaving.usual = script;
        await sendPrompts(script);
        expect(leaving.received.length).toBe(1);
    });

    // The target's record expires while the store is unavailable and is written again unchanged. Treated as an update, it would make the
    // target receive requests again.
    it("receives nothing when its record expires and returns as ready", async () => {
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

    // A response of the previous incarnation arrives late. Attributed to the new incarnation, it would keep that one idle permanently.
    it("receives requests after a restart even if a late response of the previous incarnation reports leaving", async () => {
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
            const response = await fixture.current.send({ path: "/find/x", headers: createPromptHeaders("again") });
            return response.status === 200;
        });
    });

    // If the leaving state were bound to the id alone, a restarted target would stay idle permanently.
    it("receives requests again after a restart under the same id", async () => {
        const [leaving] = await startLeaving();
        await sendPrompts("before");
        leaving.isLeaving = false;
        leaving.received.length = 0;
        fixture.current.store.condition = "up";
        fixture.current.addEntry(leaving, "engines", { born: 1_700_000_009_000 });
        await waitUntil(async () => (await sendPrompts("after")) && leaving.received.length > 0);
    });

    // The store is restored from a copy that contains the record of the previous incarnation, which would look like a different target.
    it("receives nothing when the store is restored with the record of an earlier start", async () => {
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

    // A response from a reassigned address carries the signals of the target that now has the address.
    it("is not confused with another target that now has its address", async () => {
        const [leaving, staying] = await startLeaving();
        leaving.instanceId = "another";
        await sendPrompts("moved");
        leaving.isLeaving = false;
        expect([leaving.ran.length, staying.ran.length]).toEqual([0, requestCount]);
    });

    // A router that received no response from the target itself would otherwise send requests to a target that is about to end.
    it("receives nothing from routers that received the state from peers, including one that starts later", async () => {
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

    // All targets of a service leave before their successors are registered: requests that can't be served are refused at once.
    it("causes refusals with Retry-After if no other target of its service remains", async () => {
        const [leaving, staying] = await startLeaving();
        staying.isLeaving = true;
        await sendPrompts("before");
        leaving.received.length = 0;
        staying.received.length = 0;
        const headers = createPromptHeaders("refused");
        const response = await fixture.current.send({ path: "/plan/x", headers });
        expect({
            status: response.status,
            retryAfter: response.headers["retry-after"],
            code: parseCode(response.body),
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
