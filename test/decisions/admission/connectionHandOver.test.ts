import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { ConnectionHandOver, type Neighbour } from "../../../src/decisions/admission/connectionHandOver.js";

const seed = 5;
const idle: Neighbour = { routerId: "idle", processorShare: 0.25, utilization: 0.1 };
const busy: Neighbour = { routerId: "busy", processorShare: 0.25, utilization: 0.7 };
const perSecond = 150;

/** Offers a second's connections of a flood; counts those that each neighbour took. */
function countTaken(ownUtilization: number, neighbours: readonly Neighbour[]): Readonly<Record<string, number>> {
    const handOver = new ConnectionHandOver();
    const random = new SeededRandom(seed);
    const taken: Record<string, number> = {};
    for (let index = 0; index < perSecond; index++) {
        const routerId = handOver.choose(ownUtilization, neighbours, random, (index * 1_000) / perSecond);
        if (routerId !== undefined) {
            taken[routerId] = (taken[routerId] ?? 0) + 1;
        }
    }
    return taken;
}

describe("a router's new connections", () => {
    it("stay with it while it keeps up", () => {
        expect(countTaken(0.6, [idle])).toEqual({});
    });

    it("go to neighbours with time to spare while it is saturated, and to none that is near its limit", () => {
        expect(countTaken(0.95, [idle, { ...idle, routerId: "other" }, busy])).toMatchInlineSnapshot(`
          {
            "idle": 35,
            "other": 35,
          }
        `);
    });

    // Reports are a second old: a neighbour that looks idle must not get a whole flood until its next report.
    it("do not saturate a neighbour before its next report", () => {
        const mostRequests = ((0.65 - idle.utilization) * idle.processorShare) / 0.004;
        expect(countTaken(0.95, [idle]).idle).toBeLessThanOrEqual(Math.ceil(mostRequests));
    });
});
