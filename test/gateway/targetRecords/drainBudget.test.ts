import fc from "fast-check";
import { expect, it } from "vitest";
import { computeDrainBudget } from "../../../src/gateway/drainBudget.js";

// Delays that are each below the bound add up to more than it.
it("never spends more than the bound on draining", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 60_000 }), drainMs => {
            const spentMs = Object.values(computeDrainBudget(drainMs)).reduce((sum: number, ms: number) => sum + ms, 0);
            expect(spentMs).toBeCloseTo(drainMs);
        }),
        { seed: 43 },
    );
});
