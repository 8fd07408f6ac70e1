import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { ConnectionHandOver, type Neighbour } from "../../../src/decisions/admission/connectionHandOver.js";

const seed = 5;
const idle: Neighbour = { routerId: "idle", processorShare: 0.25, utilization: 0.1 };
const busy: Neighbour = { routerId: "busy", processorShare: 0.25, utilization: 0.7 };
const perSecond = 150;

/** Offers the connections of one second of overload; counts those handed over to each neighbour. */
function countHandedOver(ownUtilization: number, neighbours: readonly Neighbour[]): Readonly<Record<string, number>> {
    const handOver = new ConnectionHandOver();
    const random = new SeededRandom(seed);
    const counts: Record<string, number> = {};
    for (let index = 0; index < perSecond; index++) {
        const routerId = handOver.choose(ownUtilization, neighbours, random, (index * 1_000) / perSecond);
        if (routerId !== undefined) {
            counts[routerId] = (counts[routerId] ?? 0) + 1;
        }
    }
    return counts;
}

describe("handover of a router's new connections", () => {
    it("hands over no connection while the router is not overloaded", () => {
        expect(countHandedOver(0.6, [idle])).toEqual({});
    });

    it("hands over connections of a saturated router to neighbours with spare capacity only", () => {
        expect(countHandedOver(0.95, [idle, { ...idle, routerId: "other" }, busy])).toMatchInlineSnapshot(`
          {
            "idle": 35,
            "other": 35,
          }
        `);
    });

    // Reports are a second old: a neighbour that was reported idle must not be handed all connections of an overload until its next report.
    it("does not saturate a neighbour before its next report", () => {
        const maxRequests = ((0.65 - idle.utilization) * idle.processorShare) / 0.004;
        expect(countHandedOver(0.95, [idle]).idle).toBeLessThanOrEqual(Math.ceil(maxRequests));
    });
});
