import fc from "fast-check";
import { expect, it } from "vitest";
import {
    hasLargeRouterLeft,
    isWithdrawalAllowed,
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

// Small routers, which then received the callers of the large ones, saturated at once.
it("never lets the last large router of a data centre leave", () => {
    const create = (routerId: string, processorShare: number): OverloadedRouter => ({ routerId, processorShare });
    const [small, large, largest] = [create("s", 0.2), create("l", 1), create("m", 1.35)];
    expect([
        hasLargeRouterLeft(large, [], [0.2, 0.2, 1.35]),
        hasLargeRouterLeft(largest, [large], [0.2, 0.2, 1]),
        hasLargeRouterLeft(large, [], [0.2, 0.2]),
        hasLargeRouterLeft(small, [large, largest], [1, 1.35]),
        hasLargeRouterLeft(large, [], [1, 1]),
    ]).toEqual([true, false, false, true, true]);
});
