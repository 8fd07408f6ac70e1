import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ColdLimiter, computeColdShare, type RouterView } from "../../../src/decisions/limits/coldLimit.js";

const seed = 20_261_203;
const secondMs = 1_000;

describe("the limit of a cold target", () => {
    // A target has just been started, and all routers have work for it. They don't ask each other; some have not heard of some
    // of the others. In no second may the target get more from all of them together than it bears.
    it("holds over all routers, also while some have not heard of others", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 2, max: 60 }),
                fc.double({ min: 1, max: 20, noNaN: true }),
                fc.double({ min: 1, max: 2, noNaN: true }),
                fc.integer({ min: 0, max: 10 }),
                fc.string({ minLength: 1, maxLength: 8 }),
                fc.array(fc.nat(3_000), { minLength: 100, maxLength: 400 }),
                fc.integer({ min: 0, max: 1 }),
                (count, requestsPerSecond, overage, slack, targetId, arrivals, unheardPeers) => {
                    const ids = [...Array(count).keys()].map(index => `router-${index}`);
                    const rate = { requestsPerSecond, overage, slack };
                    const limiters = ids.map(() => new ColdLimiter());
                    const shares = ids.map((ownId, index) => {
                        // A peer that was not heard is known as a seed, so its part is left to it.
                        const hidden = unheardPeers === 1 ? ids[(index + 1) % count] : undefined;
                        const routerIds = ids.filter(id => id !== hidden);
                        const view: RouterView = { ownId, routerIds, unheard: unheardPeers, isSettled: true };
                        return computeColdShare(targetId, rate, view);
                    });
                    const sent: number[] = [];
                    for (const [index, atMs] of [...arrivals].sort((a, b) => a - b).entries()) {
                        const router = index % count;
                        if (limiters[router].hasCapacity(atMs, shares[router])) {
                            limiters[router].recordSend(atMs);
                            sent.push(atMs);
                        }
                    }
                    const bearable = requestsPerSecond * overage + slack;
                    const most = Math.max(
                        0,
                        ...sent.map(from => sent.filter(at => at >= from && at < from + secondMs).length),
                    );
                    expect(most).toBeLessThanOrEqual(bearable);
                },
            ),
            { seed, numRuns: 200 },
        );
    });

    it("is nothing at all for a router that has not had time to hear from the others", () => {
        const view: RouterView = { ownId: "a", routerIds: ["a"], unheard: 0, isSettled: false };
        expect(computeColdShare("t", { requestsPerSecond: 100, overage: 1, slack: 0 }, view)).toBe(0);
    });
});
