import fc from "fast-check";
import { expect, it } from "vitest";
import { ExposureBudget } from "../../../src/decisions/rollouts/exposureBudget.js";

const seed = 20_261_204;
const limit = { share: 0.1, slack: 50 };

// Routers start, end and start anew without a word to one another; the sum of what they send must stay within the bound.
it("the routers' budgets together stay within the exposure, whoever starts and ends", () => {
    fc.assert(
        fc.property(
            fc.integer({ min: 1, max: 60 }),
            fc.array(fc.record({ router: fc.nat(59), starts: fc.boolean() }), { maxLength: 2_000 }),
            fc.nat(40),
            (routers, requests, mostStarts) => {
                const budgets = [...Array(routers)].map(() => new ExposureBudget(limit, routers));
                let starts = 0;
                let exposed = 0;
                for (const { router, starts: isNew } of requests) {
                    const index = router % routers;
                    if (isNew && starts < mostStarts) {
                        starts += 1;
                        budgets[index] = new ExposureBudget(limit, routers);
                    }
                    budgets[index].recordRequest();
                    if (budgets[index].hasCapacity) {
                        budgets[index].recordExposed();
                        exposed += 1;
                    }
                }
                expect(exposed).toBeLessThanOrEqual(limit.share * requests.length + limit.slack);
            },
        ),
        { seed, numRuns: 100 },
    );
});
