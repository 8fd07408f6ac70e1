import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import {
    computeReturnDelayMs,
    RequestReturn,
    type RouterLoad,
} from "../../../src/decisions/admission/requestReturn.js";

const small = (utilization: number): RouterLoad => ({ processorShare: 0.2, utilization });
const large = (utilization: number): RouterLoad => ({ processorShare: 1.35, utilization });
const stepMs = 10;

/** Number of requests returned within a second of a steady load. */
function countReturned(neighbours: readonly RouterLoad[], requestsPerStep: number): number {
    const returning = new RequestReturn();
    let returned = 0;
    for (let nowMs = 0; nowMs < 1_000; nowMs += stepMs) {
        for (let index = 0; index < requestsPerStep; index++) {
            returned += returning.takeCapacity(neighbours, nowMs) ? 1 : 0;
        }
    }
    return returned;
}

describe("a router short of processor time", () => {
    it("returns a growing fraction of its requests", () => {
        const returning = new RequestReturn();
        const fractions = [0.5, 0.75, 0.85, 0.95, 1].map(own => returning.computeFraction(small(own), [large(0.3)]));
        expect(fractions.map(fraction => Number(fraction.toFixed(2)))).toEqual([0, 0, 0.5, 0.9, 0.9]);
    });

    // Among equal routers the balancer spreads the load as well as returned requests would.
    it("returns none where all routers of the data centre have about the same processor share", () => {
        expect(new RequestReturn().computeFraction(small(1), [small(0.1), small(0.1)])).toBe(0);
    });

    // A large router that returned its requests would overload the small ones.
    it("returns none if it is the largest", () => {
        expect(new RequestReturn().computeFraction(large(1), [small(0.1), small(0.1)])).toBe(0);
    });

    // Without the bound, a burst at one router would saturate the next one and come back from there.
    it("returns no more than its neighbours can take", () => {
        expect([
            countReturned([large(0.4)], 10),
            countReturned([large(0.4), small(0.9), small(0.9)], 10),
            countReturned([large(0.7), small(0.9)], 10),
            countReturned([], 10),
        ]).toEqual([83, 27, 0, 0]);
    });

    it("never returns more than the neighbours' capacity over any load", () => {
        const load = fc.record({
            processorShare: fc.double({ min: 0.05, max: 2, noNaN: true }),
            utilization: fc.double({ min: 0, max: 1, noNaN: true }),
        });
        fc.assert(
            fc.property(fc.array(load, { maxLength: 12 }), fc.integer({ min: 0, max: 20 }), (neighbours, perStep) => {
                const spare = neighbours.reduce(
                    (sum, one) => sum + Math.max(0, 0.65 - one.utilization) * one.processorShare,
                    0,
                );
                // A second's capacity and what may be returned at once, by requests of 4 ms each.
                expect(countReturned(neighbours, perStep)).toBeLessThanOrEqual((spare / 0.004) * 1.25 + 1);
            }),
        );
    });
});

// Retries that all come at the same moment would be the next burst.
it("spreads the retries of returned requests", () => {
    const random = new SeededRandom(1);
    const delays = Array.from({ length: 200 }, () => computeReturnDelayMs(random));
    expect([Math.min(...delays) >= 20, Math.max(...delays) <= 80, new Set(delays).size > 150]).toEqual([
        true,
        true,
        true,
    ]);
});
