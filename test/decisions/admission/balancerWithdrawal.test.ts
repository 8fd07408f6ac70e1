import fc from "fast-check";
import { expect, it } from "vitest";
import {
    isWithdrawalAllowed,
    YieldToLarger,
    type OverloadedRouter,
} from "../../../src/decisions/admission/balancerWithdrawal.js";

function listAllowed(overloaded: readonly OverloadedRouter[], routerCount: number): readonly string[] {
    return overloaded
        .filter(own =>
            isWithdrawalAllowed(
                own,
                overloaded.filter(other => other !== own),
                routerCount,
            ),
        )
        .map(({ routerId }) => routerId);
}

it("lets the smallest overloaded routers leave the balancer", () => {
    const overloaded = [0.675, 0.184, 0.594, 0.184].map((processorShare, index) => ({
        routerId: `r${index}`,
        processorShare,
    }));
    expect([listAllowed(overloaded, 6), listAllowed(overloaded, 4), listAllowed(overloaded, 1)]).toEqual([
        ["r1", "r2", "r3"],
        ["r1", "r3"],
        [],
    ]);
});

// If more than half of a data centre's routers leave, the balancer uses all of them again.
it("never lets more than half of the routers leave", () => {
    const router = fc.record({ routerId: fc.uuid(), processorShare: fc.double({ min: 0.1, max: 2, noNaN: true }) });
    fc.assert(
        fc.property(
            fc.uniqueArray(router, { selector: ({ routerId }) => routerId, maxLength: 20 }),
            fc.nat(10),
            (overloaded, calm) => {
                const count = overloaded.length + calm;
                expect(listAllowed(overloaded, count)).toHaveLength(Math.min(overloaded.length, Math.floor(count / 2)));
            },
        ),
    );
});

// The smallest router of a data centre saturated again with each burst, and the balancer noticed only seconds later.
it("lets a small router leave its callers to larger ones until an even part of the work is small", () => {
    const yielding = new YieldToLarger();
    const update = (own: number, larger: number): boolean =>
        yielding.update({ processorShare: 0.184, utilization: own }, [
            { processorShare: 1.35, utilization: larger },
            { processorShare: 1.35, utilization: larger },
        ]);
    expect([update(0.3, 0.05), update(0.6, 0.15), update(0.05, 0.12), update(0.05, 0.05)]).toEqual([
        false,
        true,
        true,
        false,
    ]);
});

it("keeps a router in the balancer that is not smaller, or whose larger neighbours are busy", () => {
    const own = { processorShare: 0.5, utilization: 0.9 };
    expect([
        new YieldToLarger().update(own, [{ processorShare: 0.6, utilization: 0.1 }]),
        new YieldToLarger().update(own, [{ processorShare: 1.35, utilization: 0.8 }]),
        new YieldToLarger().update(own, []),
    ]).toEqual([false, false, false]);
});
