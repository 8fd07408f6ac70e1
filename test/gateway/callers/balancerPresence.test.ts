import { expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import type { LogFields } from "../../../src/base/log.js";
import { BalancerPresence } from "../../../src/gateway/callers/balancerPresence.js";
import { createPromptHeaders, GatewayFixture, idleLoad, waitUntil } from "../gatewayFixture.js";
import type { RouterCondition } from "../../../src/gateway/peers/peerMessage.js";

const fleetSize = 9;

function createFixture(yieldsToLargerRouters: boolean) {
    const clock = new ManualClock();
    const lines: string[] = [];
    const conditions = new Map<string, RouterCondition>();
    for (let index = 1; index < fleetSize; index += 1) {
        const condition = { dataCentre: "a", processorShare: 1.35, utilization: 0.1, isWithdrawn: false };
        conditions.set(`r${index}`, condition);
    }
    const load = { shouldLeaveBalancer: false, loop: { delayMs: 0, utilization: 0.5, recentUtilization: 0.5 } };
    const limits = { processorShare: 0.2, memoryMb: 200, maxDescriptors: 1_000 };
    const settings = { daemonId: "r0", dataCentre: "a", limits, returnsRequests: false, yieldsToLargerRouters };
    const logger = {
        write: (...[, message, fields]: [string, string, LogFields?]) => {
            lines.push(`${message}: ${JSON.stringify(fields)}`);
        },
    };
    const presence = new BalancerPresence({ getSettings: () => settings, load, peers: { conditions }, clock, logger });
    return { clock, conditions, lines, load, presence };
}

it("says why the router left the balancer and that it returned", () => {
    const { clock, conditions, lines, load, presence } = createFixture(true);
    const reasons = [presence.statistics.reason];
    clock.advance(4_000);
    load.shouldLeaveBalancer = true;
    // Conditions older than their time to live are no longer listed.
    conditions.delete("r8");
    reasons.push(presence.statistics.reason);
    clock.advance(200);
    load.shouldLeaveBalancer = false;
    reasons.push(presence.statistics.reason);
    expect(reasons).toEqual(["reserve", "overload", undefined]);
    expect(presence.statistics.counts).toEqual({ reserve: 1, "beyond-reserve": 0, overload: 1 });
    expect(lines).toMatchInlineSnapshot(`
      [
        "withdrew from the balancer: {"reason":"reserve","utilization":0.5,"evenShare":0.66}",
        "withdrawn from the balancer for another reason: {"reason":"overload","utilization":0.5,"evenShare":0.65,"previous":"reserve"}",
        "returned to the balancer: {"reason":"overload","utilization":0.5,"evenShare":0.65,"afterMs":4200}",
      ]
    `);
});

it("leaves only because of its own overload where the setting is off", () => {
    const { load, presence } = createFixture(false);
    const before = presence.shouldLeaveBalancer;
    load.shouldLeaveBalancer = true;
    expect([before, presence.shouldLeaveBalancer, presence.statistics.reason]).toEqual([false, true, "overload"]);
});

// Callers' kept connections bound them to a router that had left the balancer.
it("closes connections with their responses once nine real routers know one another", async () => {
    const fixture = new GatewayFixture();
    await fixture.start();
    try {
        await fixture.addTarget("engines", "engine-1");
        const loop = { delayMs: 0, utilization: 0.5, recentUtilization: 0.5 };
        for (let index = 0; index < fleetSize; index += 1) {
            const limits = { memoryMb: 350, maxDescriptors: 4_000, processorShare: index === 0 ? 0.2 : 1.35 };
            const load = index === 0 ? { ...idleLoad, loop: { ...loop, utilization: 1 } } : { ...idleLoad, loop };
            await fixture.addRouter({ limits, yieldsToLargerRouters: true }, true, load);
        }
        await waitUntil(() => !fixture.routers[0].daemon.isReady);
        const call = { path: "/plan/x", headers: createPromptHeaders("a") };
        const responses = [await fixture.send(call, 0), await fixture.send(call, 1)];
        expect(responses.map(({ status, headers }) => [status, headers.connection])).toEqual([
            [200, "close"],
            [200, "keep-alive"],
        ]);
    } finally {
        await fixture.dispose();
    }
});
