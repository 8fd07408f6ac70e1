import { afterEach, beforeEach, describe, expect, it } from "vitest";
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
