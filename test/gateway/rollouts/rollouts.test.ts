import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { fetchRollouts } from "../../../src/gateway/rollouts/rolloutsApi.js";
import { SteppedClock } from "../../fakes/steppedClock.js";
import type { TargetServer } from "../../fakes/usersPlatform/targetServer.js";
import { GatewayFixture, waitUntil } from "../gatewayFixture.js";

const fixture: { current: GatewayFixture; clock: SteppedClock | undefined } = {
    current: new GatewayFixture(),
    clock: undefined,
};
const order = { service: "app", target: "v2", duration_s: 4 };
const exposure = { share: 0.1, slack: 20 };
const orderKey = "rollout/app";
const requestIntervalMs = 4;
/** Time that targets take where the verdict depends on response times; far above what the steps of the clock add to it. */
const steppedWorkMs = 100;
/** More than the requests that run at once at one target, so that none waits there. */
const slots = 64;

interface WrittenStatus {
    readonly state: string;
    readonly step: string;
    readonly target: string;
}

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    fixture.clock = undefined;
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

async function addTargets(version: string, count: number): Promise<readonly TargetServer[]> {
    const { current, clock } = fixture;
    const indexes = [...Array(count).keys()];
    const targets = await Promise.all(
        indexes.map(index => current.addTarget("app", `app-${version}-${index}`, { version, slots })),
    );
    if (clock !== undefined) {
        targets.forEach(target => Object.assign(target, { workMs: steppedWorkMs, sleep: clock.sleep.bind(clock) }));
    }
    return targets;
}

function readStatus(): WrittenStatus | undefined {
    return fixture.current.store.read("keyed.status", orderKey) as WrittenStatus | undefined;
}

function listSteps(): readonly string[] {
    const written = fixture.current.store.readHistory("keyed.status", orderKey) as readonly WrittenStatus[];
    return written.map(({ state, step, target }) => (state === "running" ? step : `${state} ${target}`));
}

function countRan(targets: readonly TargetServer[]): number {
    return targets.reduce((sum, target) => sum + target.ran.length, 0);
}

/**
 * Replaces the fixture by one whose clock advances only with the requests that are sent. The number of requests that a roll-out gets
 * within its duration, and which responses count as slow, then don't depend on the speed of the machine.
 */
async function startStepped(): Promise<void> {
    fixture.current.dispose();
    fixture.clock = new SteppedClock();
    fixture.current = new GatewayFixture(fixture.clock);
    await fixture.current.start();
}

async function waitForStep(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, requestIntervalMs));
    fixture.clock?.advance(requestIntervalMs);
}

/** Sends requests on two routes, alternating between the routers, until the condition holds; returns the sent and failed counts. */
async function sendUntil(check: () => boolean): Promise<{ readonly sent: number; readonly failed: number }> {
    const routers = fixture.current.routers.length;
    const responses: Promise<boolean>[] = [];
    let ended = 0;
    while (!check()) {
        const path = responses.length % 3 === 0 ? "/book/" : "/find/";
        const headers = { "x-lynxarch-attempt-id": `r${responses.length}` };
        const response = fixture.current.send({ path, headers }, responses.length % routers);
        responses.push(response.then(({ status }) => status === 200).finally(() => ended++));
        await waitForStep();
    }
    while (ended < responses.length) {
        await waitForStep();
    }
    const results = await Promise.all(responses);
    return { sent: results.length, failed: results.filter(isOk => !isOk).length };
}

function hasEnded(): boolean {
    const state = readStatus()?.state;
    return state !== undefined && state !== "running";
}

describe("a roll-out", () => {
    it("of a sound version completes once no request runs at the old version, and no request fails", async () => {
        await startStepped();
        const old = await addTargets("v1", 2);
        const next = await addTargets("v2", 2);
        await fixture.current.addRouter({ exposure });
        await fixture.current.addRouter({ exposure });
        fixture.current.store.write("keyed.op", orderKey, order);
        const { failed } = await sendUntil(hasEnded);
        const ranAtOld = countRan(old);
        const ranAtNext = countRan(next);
        const later = await sendUntil(() => countRan(next) - ranAtNext > 20);
        expect(listSteps()).toEqual(["canary", "watch", "ramp", "switch", "complete v2"]);
        expect({ failed: failed + later.failed, ranAtOld: countRan(old) - ranAtOld }).toEqual({
            failed: 0,
            ranAtOld: 0,
        });
    });

    // A version that fails some of its requests must be rolled back without receiving more requests than the exposure allows.
    it("of a version that fails is rolled back within its exposure", async () => {
        await addTargets("v1", 2);
        const bad = await addTargets("v2", 2);
        let count = 0;
        bad.forEach(target => (target.chooseScript = () => (count++ % 2 === 0 ? "error" : "serve")));
        await fixture.current.addRouter({ exposure });
        await fixture.current.addRouter({ exposure });
        fixture.current.store.write("keyed.op", orderKey, order);
        const { sent } = await sendUntil(hasEnded);
        const ranAtEnd = countRan(bad);
        let more = 0;
        await sendUntil(() => ++more > 50);
        expect(listSteps().at(-1)).toBe("rolled_back v2");
        expect(ranAtEnd).toBeLessThan(exposure.share * sent + exposure.slack);
        expect(countRan(bad) - ranAtEnd).toBeLessThanOrEqual(1);
    });

    it("is listed for operators, with the evidence on both versions", async () => {
        await startStepped();
        await addTargets("v1", 2);
        await addTargets("v2", 2);
        await fixture.current.addRouter({ exposure });
        fixture.current.store.write("keyed.op", orderKey, order);
        await sendUntil(hasEnded);
        const { control } = fixture.current.routers[0].settings;
        const [view] = (await fetchRollouts(control ?? ""))._unsafeUnwrap();
        const { state, version, reason, routes } = view;
        expect({ state, version, reason, routes: routes.map(({ route }) => route).sort() }).toMatchInlineSnapshot(`
          {
            "reason": "nothing runs at the old version any more",
            "routes": [
              "r-book",
              "r-find",
            ],
            "state": "complete",
            "version": "v2",
          }
        `);
        expect(routes.every(({ candidate, baseline }) => candidate.requests > 0 && baseline.requests > 0)).toBe(true);
    });

    it("whose order is withdrawn while it runs is rolled back", async () => {
        await addTargets("v1", 1);
        await addTargets("v2", 1);
        await fixture.current.addRouter({ exposure });
        fixture.current.store.write("keyed.op", orderKey, order);
        await waitUntil(() => readStatus() !== undefined);
        fixture.current.store.write("keyed.op", orderKey, undefined);
        await waitUntil(hasEnded);
        expect(listSteps()).toEqual(["canary", "rolled_back v2"]);
    });

    // A version that was rolled back, or replaced before its roll-out was complete, is not known to be sound and must get no requests.
    it("of a third version sends no requests to the second version", async () => {
        await addTargets("v1", 2);
        const replaced = await addTargets("v2", 1);
        await fixture.current.addRouter({ exposure });
        fixture.current.store.write("keyed.op", orderKey, order);
        await waitUntil(() => readStatus() !== undefined);
        fixture.current.store.write("keyed.op", orderKey, { ...order, target: "v3" });
        await waitUntil(() => readStatus()?.target === "v3");
        const ranBefore = countRan(replaced);
        let count = 0;
        await sendUntil(() => ++count > 100);
        expect(countRan(replaced) - ranBefore).toBe(0);
        expect(readStatus()).toMatchObject({ state: "running", target: "v3", rejected: ["v2"] });
    });

    it.each([
        ["not valid JSON", "{"],
        ["for another service", { ...order, service: "engines" }],
        ["without a version", { service: "app", duration_s: 4 }],
    ])("whose order is %s is ignored, and all targets serve requests", async (...[, value]) => {
        const targets = [...(await addTargets("v1", 1)), ...(await addTargets("v2", 1))];
        await fixture.current.addRouter({ exposure });
        fixture.current.store.write("keyed.op", orderKey, value);
        await sendUntil(() => targets.every(target => target.ran.length > 0));
        expect(readStatus()).toBeUndefined();
    });

    // Two deciders, and writes whose responses are lost, must neither revert an outcome nor write it twice.
    it("never goes back a step while responses of the store are lost", async () => {
        await startStepped();
        await addTargets("v1", 2);
        await addTargets("v2", 2);
        await fixture.current.addRouter({ exposure });
        await fixture.current.addRouter({ exposure });
        fixture.current.store.losesAppendAnswers = true;
        fixture.current.store.write("keyed.op", orderKey, order);
        await sendUntil(hasEnded);
        expect(listSteps()).toEqual(["canary", "watch", "ramp", "switch", "complete v2"]);
    });

    // The store is restored from an older copy without the outcome: if the routers dropped it, too, a bad version would get requests again.
    it("keeps its outcome if the store loses it", async () => {
        await addTargets("v1", 1);
        const bad = await addTargets("v2", 1);
        bad.forEach(target => (target.usual = "error"));
        await fixture.current.addRouter({ exposure });
        fixture.current.store.write("keyed.op", orderKey, order);
        await sendUntil(hasEnded);
        fixture.current.store.removeLast("keyed.status", 1);
        await waitUntil(hasEnded);
        expect(readStatus()).toMatchObject({ state: "rolled_back", target: "v2" });
    });

    // A router that starts after the roll-back must not send requests to the rejected version.
    it("remains rolled back at a router that starts later", async () => {
        await addTargets("v1", 1);
        const bad = await addTargets("v2", 1);
        bad.forEach(target => (target.usual = "error"));
        await fixture.current.addRouter({ exposure });
        fixture.current.store.write("keyed.op", orderKey, order);
        await sendUntil(hasEnded);
        const ranBefore = countRan(bad);
        await fixture.current.addRouter({ exposure });
        let count = 0;
        const { failed } = await sendUntil(() => ++count > 60);
        expect({ failed, ran: countRan(bad) - ranBefore }).toEqual({ failed: 0, ran: 0 });
    });
});
