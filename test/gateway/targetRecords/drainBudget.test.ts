import fc from "fast-check";
import { expect, it } from "vitest";
import { computeDrainBudget } from "../../../src/gateway/drainBudget.js";

// Delays that are each below the limit could add up to more than the limit.
it("adds up to the time limit on draining", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 60_000 }), drainMs => {
            const totalMs = Object.values(computeDrainBudget(drainMs)).reduce((sum: number, ms: number) => sum + ms, 0);
            expect(totalMs).toBeCloseTo(drainMs);
        }),
        { seed: 43 },
    );
});
