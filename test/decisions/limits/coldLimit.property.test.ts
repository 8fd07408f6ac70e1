import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ColdLimiter, computeColdShare, type RouterView } from "../../../src/decisions/limits/coldLimit.js";

const seed = 20_261_203;
const secondMs = 1_000;

describe("the limit of a cold target", () => {
    // A target has just started, and all routers have work for it. They do not coordinate, and some have not received
    // messages from some of the others. In no second may the target receive more from all of them together than it can
    // handle.
    it("applies to all routers together, also while some have not received messages from others", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 2, max: 60 }),
                fc.double({ min: 1, max: 20, noNaN: true }),
                fc.double({ min: 1, max: 2, noNaN: true }),
                fc.integer({ min: 0, max: 10 }),
                fc.string({ minLength: 1, maxLength: 8 }),
                fc.array(fc.nat(3_000), { minLength: 100, maxLength: 400 }),
                fc.integer({ min: 0, max: 1 }),
                (count, requestsPerSecond, overage, slack, targetId, arrivals, missingPeers) => {
                    const ids = [...Array(count).keys()].map(index => `router-${index}`);
                    const rate = { requestsPerSecond, overage, slack };
                    const limiters = ids.map(() => new ColdLimiter());
                    const shares = ids.map((ownId, index) => {
                        // A peer without received messages is still listed as a seed, so its part is reserved for it.
                        const hidden = missingPeers === 1 ? ids[(index + 1) % count] : undefined;
                        const routerIds = ids.filter(id => id !== hidden);
                        const view: RouterView = { ownId, routerIds, unheard: missingPeers, isSettled: true };
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
                    const capacity = requestsPerSecond * overage + slack;
                    const maxSent = Math.max(
                        0,
                        ...sent.map(from => sent.filter(at => at >= from && at < from + secondMs).length),
                    );
                    expect(maxSent).toBeLessThanOrEqual(capacity);
                },
            ),
            { seed, numRuns: 200 },
        );
    });

    it("is zero for a router that has not had time to receive messages from the others", () => {
        const view: RouterView = { ownId: "a", routerIds: ["a"], unheard: 0, isSettled: false };
        expect(computeColdShare("t", { requestsPerSecond: 100, overage: 1, slack: 0 }, view)).toBe(0);
    });
});
