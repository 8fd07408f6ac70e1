import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { fetchHeldParts, releaseHeldPart } from "../../src/gateway/quarantine/heldRequestsApi.js";
import { createPromptHeaders, GatewayFixture, waitUntil, type CallerResponse } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const fatalPart = "dead";
const routerCount = 3;
/** Time after which all routers have received the report of a crash. */
const settleMs = 60;
/** Targets that may have ended when routers must stop sending requests with the part, and how many more they may send. */
const maxEnded = 5;
const maxSentLater = 3;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

async function startFleet(targetCount: number, fatalPartEvents = 0): Promise<void> {
    for (let index = 0; index < targetCount; index++) {
        const target = await fixture.current.addTarget("engines", `engine-${index}`);
        target.fatalPart = fatalPart;
        target.fatalPartEvents = fatalPartEvents;
    }
    for (let index = 0; index < routerCount; index++) {
        await fixture.current.addRouter();
    }
    await waitUntil(() => fixture.current.routers.every(({ daemon }) => daemon.knownRouterCount === routerCount));
}

/** Sends a request with the given shared parts, an own part and an own body. */
function sendPrompt(id: string, shared: readonly string[], router: number): Promise<CallerResponse> {
    const parts = [...shared.map(part => `${part}:300`), `own-${id}:100`].join(",");
    const headers = createPromptHeaders(id, { "x-lynxarch-prefix-hash": parts });
    return fixture.current.send({ path: "/plan/x", headers, body: `body of ${id}` }, router);
}

/** Sends requests one after the other to all routers in turn; targets that have ended are removed from the store. */
async function sendInTurn(
    prefix: string,
    count: number,
    shared: (index: number) => readonly string[],
): Promise<readonly CallerResponse[]> {
    const responses: CallerResponse[] = [];
    for (let index = 0; index < count; index++) {
        responses.push(await sendPrompt(`${prefix}-${index}`, shared(index), index % routerCount));
        await new Promise(resolve => setTimeout(resolve, settleMs));
        for (const target of fixture.current.targets.filter(({ hasEnded }) => hasEnded)) {
            fixture.current.store.write("keyed.servers", target.instanceId, undefined);
        }
    }
    return responses;
}

function countEnded(): number {
    return fixture.current.targets.filter(target => target.hasEnded).length;
}

function countServed(responses: readonly CallerResponse[]): number {
    return responses.filter(({ status, isIncomplete }) => status === 200 && !isIncomplete).length;
}

const places: readonly (readonly [place: string, shared: (index: number) => readonly string[]])[] = [
    ["last", () => ["common", fatalPart]],
    ["first", () => [fatalPart, "common"]],
    ["between parts that change", index => [`a${index}`, fatalPart, `b${index}`]],
];

describe("a prompt part that crashes each target that begins to answer on it", () => {
    // Requests with the part differ in everything else, so that none of them is recognized as a repeat of another one.
    it.each(places)("ends few targets if it comes %s", async (...[, shared]) => {
        await startFleet(16);
        await sendInTurn("before", 6, () => ["common", "sound"]);
        await sendInTurn("fatal", 12, shared);
        expect(countEnded()).toBeLessThanOrEqual(maxEnded + maxSentLater);
        const sound = await sendInTurn("after", 6, () => ["common", "sound"]);
        expect(countServed(sound)).toBe(sound.length);
    });
});

describe("requests beside those with a part that crashes targets", () => {
    // Only one router has answered requests with the part that accompanies the fatal one; the others would hold both.
    it("are served by all routers if one of them has answered their parts", async () => {
        await startFleet(16);
        for (let index = 0; index < 3; index++) {
            await sendPrompt(`before-${index}`, ["common"], 0);
        }
        await sendInTurn("fatal", 8, () => ["common", fatalPart]);
        const sound = await sendInTurn("after", 6, () => ["common"]);
        expect([countServed(sound), countEnded() <= maxEnded + maxSentLater]).toEqual([sound.length, true]);
    });

    // Nothing tells the two parts apart until a request with one of them is answered.
    it("are served after a trial if the parts of no request have been answered", async () => {
        await startFleet(16);
        await sendInTurn("fatal", 8, () => ["common", fatalPart]);
        let tries = 0;
        await waitUntil(
            async () => countServed(await sendInTurn(`trial-${tries++}`, routerCount, () => ["common"])) > 0,
        );
        const sound = await sendInTurn("after", 6, () => ["common"]);
        const fatal = await sendInTurn("late", 3, index => [fatalPart, `other${index}`]);
        expect([countServed(sound), fatal.map(({ status }) => status)]).toEqual([sound.length, [502, 502, 502]]);
    });

    // A caller sends the part of another account along with a fatal one of its own.
    it("are served if their part is sent along with the fatal one by another caller", async () => {
        await startFleet(16);
        await sendInTurn("fatal", 4, () => ["victim", fatalPart]);
        const sound = await sendInTurn("victim", 9, () => ["victim"]);
        expect(countServed(sound)).toBeGreaterThanOrEqual(sound.length / 2);
    });
});

describe("a part that crashes targets", () => {
    it("stays refused after a restart of all routers", async () => {
        await startFleet(16);
        await sendInTurn("fatal", 8, () => ["common", fatalPart]);
        const ended = countEnded();
        await waitUntil(() => fixture.current.store.hasKeys("keyed.quarantine-parts"));
        fixture.current.routers.splice(0).forEach(({ daemon }) => daemon.dispose());
        await fixture.current.addRouter();
        const response = await sendPrompt("later", ["common", fatalPart], 0);
        expect({ status: response.status, ended: countEnded(), code: parseCode(response.body) }).toEqual({
            status: 502,
            ended,
            code: "part-crashes-targets",
        });
    });

    // The cause of the crashes is fixed, but the next trial would only take place later.
    it("is sent again by all routers once an operator has released it", async () => {
        await startFleet(16);
        await sendInTurn("before", 3, () => ["common"]);
        await sendInTurn("fatal", 8, () => ["common", fatalPart]);
        fixture.current.targets.forEach(target => (target.fatalPart = undefined));
        const address = fixture.current.routers[0].settings.control!;
        const held = (await fetchHeldParts(address))._unsafeUnwrap();
        const isReleased = (await releaseHeldPart(address, "engines", fatalPart))._unsafeUnwrap();
        const responses = await sendInTurn("later", 3, () => ["common", fatalPart]);
        expect({ parts: held.map(({ parts }) => parts), isReleased, served: countServed(responses) }).toEqual({
            parts: [[fatalPart]],
            isReleased: true,
            served: 3,
        });
    });
});

function parseCode(body: string): string {
    return (JSON.parse(body) as { readonly code: string }).code;
}
