import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPromptHeaders, GatewayFixture, waitUntil, type CallerResponse } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
/** What the target asks for, in seconds and milliseconds. */
const pauseSeconds = "1.2";
const pauseMs = 1_200;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

function send(id: string): Promise<CallerResponse> {
    return fixture.current.send({ path: "/plan/x", headers: createPromptHeaders(id) });
}

describe("a target that turns a request away with Retry-After", () => {
    // Sent on at once, a target that is full gets each new request and turns all of them away.
    it("gets nothing until the time is over, and then requests again", async () => {
        const target = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter();
        target.retryAfter = pauseSeconds;
        target.scripts.push("shed");
        await send("first");
        const refusedAtMs = target.received[0].atMs;
        await waitUntil(async () => (await send("again")).status === 200);
        expect(target.received[1].atMs - refusedAtMs).toBeGreaterThanOrEqual(pauseMs);
    });

    it("is passed over for another one", async () => {
        const pausing = await fixture.current.addTarget("engines", "engine-1");
        const other = await fixture.current.addTarget("engines", "engine-2");
        await fixture.current.addRouter();
        pausing.retryAfter = pauseSeconds;
        pausing.usual = "shed";
        for (let index = 0; index < 6; index++) {
            expect((await send(`r${index}`)).status).toBe(200);
        }
        expect([pausing.received.length <= 1, other.ran.length]).toEqual([true, 6]);
    });

    // Callers that are told a shorter time come back for nothing.
    it("leaves callers refused at once, with the time that is left", async () => {
        const target = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter();
        target.retryAfter = "20";
        target.scripts.push("shed");
        await send("first");
        const { status, headers, body } = await send("second");
        const retryAfter = Number(headers["retry-after"]);
        expect([status, (JSON.parse(body) as { code: string }).code]).toEqual([503, "targets-pausing"]);
        expect([retryAfter > 10, retryAfter < 23]).toEqual([true, true]);
        expect(target.received.length).toBe(1);
    });

    // Another target that can't be reached just now may be back long before the end of the pause.
    it("does not make callers wait for it while another one may come back sooner", async () => {
        const pausing = await fixture.current.addTarget("engines", "engine-1");
        const unreachable = await fixture.current.addTarget("engines", "engine-2");
        await fixture.current.addRouter();
        unreachable.dispose();
        pausing.retryAfter = "20";
        pausing.usual = "shed";
        await waitUntil(async () => {
            await send("first");
            return pausing.received.length > 0;
        });
        const { status, headers } = await send("second");
        expect([status, headers["retry-after"]]).toEqual([503, "0.30"]);
    });

    // A router that starts asks engines what they keep; also this answer binds it.
    it("gets nothing where it said so to a router that has just started", async () => {
        const target = await fixture.current.addTarget("engines", "engine-1");
        target.retryAfter = "20";
        target.refusesLists = true;
        await fixture.current.addRouter();
        await waitUntil(async () => (await send("again")).status === 503);
        target.received.length = 0;
        await send("later");
        expect(target.received.length).toBe(0);
    });

    it.each(["soon", "-5", "", "0"])(
        "that can't be read or asks for nothing (%j) gets the next request",
        async value => {
            const target = await fixture.current.addTarget("engines", "engine-1");
            await fixture.current.addRouter();
            target.retryAfter = value;
            target.scripts.push("shed");
            await send("first");
            expect((await send("second")).status).toBe(200);
        },
    );

    // The wish was that of the process before.
    it("gets requests at once when it has started anew", async () => {
        const target = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter();
        target.retryAfter = "600";
        target.scripts.push("shed");
        await send("first");
        fixture.current.addEntry(target, "engines", { born: 1_700_000_009_000 });
        await waitUntil(async () => (await send("again")).status === 200);
    });
});
