import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    ReadinessReserve,
    selectReserve,
    type FleetRouter,
    type WithdrawalLevel,
} from "../../../src/decisions/admission/readinessReserve.js";

const largeShare = 1.35;
const smallShare = 0.2;

/** Two large and the given number of small routers; `even`: utilization of a small one by an even share of the work. */
function createDataCentre(dataCentre: string, smallCount: number, even: number, withdrawn = ""): FleetRouter[] {
    const shares = [largeShare, largeShare, ...Array.from({ length: smallCount }, () => smallShare)];
    const total = shares.reduce((sum, share) => sum + share, 0);
    return shares.map((processorShare, index) => ({
        routerId: `${dataCentre}${index}`,
        dataCentre,
        processorShare,
        utilization: (even * smallShare * shares.length) / total,
        isWithdrawn: withdrawn.split(" ").includes(`${dataCentre}${index}`),
    }));
}

/** 18 routers, so two places. */
function createFleet(even: Readonly<Record<string, number>>, withdrawn = ""): FleetRouter[] {
    return Object.entries(even).flatMap(([name, value]) => createDataCentre(name, 4, value, withdrawn));
}

function list(routers: readonly FleetRouter[]): string {
    return [...selectReserve(routers)].join(" ");
}

describe("places in the readiness reserve", () => {
    it("go to the small routers with the highest need, as far as all withdrawn routers leave places", () => {
        expect([
            list(createFleet({ a: 0.4, b: 0.6, c: 0.2 })),
            list(createFleet({ a: 0.4, b: 0.6, c: 0.2 }, "c0")),
            list(createFleet({ a: 0.4, b: 0.3, c: 0.2 })),
            list(createFleet({ a: 0.3, b: 0.3, c: 0.2 })),
            list(createDataCentre("a", 4, 0.6)),
        ]).toEqual(["b2 b3", "b2", "a2 a3", "", ""]);
    });

    // Two routers with about the same need alternated with each report.
    it("are kept until another router's need is a quarter higher", () => {
        expect([
            list(createFleet({ a: 0.5, b: 0.6, c: 0.2 }, "a2 a3")),
            list(createFleet({ a: 0.5, b: 0.7, c: 0.2 }, "a2 a3")),
            list(createFleet({ a: 0.25, b: 0.2, c: 0.2 }, "a2 a3")),
            list(createFleet({ a: 0.2, b: 0.2, c: 0.2 }, "a2 a3")),
        ]).toEqual(["a2 a3", "b2 b3", "a2 a3", ""]);
    });

    it("are never more than a ninth of the fleet or half of a data centre, and none go to a large router", () => {
        const router = fc.record({
            routerId: fc.uuid(),
            dataCentre: fc.constantFrom("a", "b", "c"),
            processorShare: fc.constantFrom(0.184, 0.243, 0.594, 1.35),
            utilization: fc.double({ min: 0, max: 1, noNaN: true }),
            isWithdrawn: fc.boolean(),
        });
        fc.assert(
            fc.property(fc.uniqueArray(router, { selector: ({ routerId }) => routerId, maxLength: 60 }), routers => {
                const selected = selectReserve(routers);
                expect(selected.size).toBeLessThanOrEqual(routers.length / 9);
                for (const dataCentre of ["a", "b", "c"]) {
                    const members = routers.filter(member => member.dataCentre === dataCentre);
                    const chosen = members.filter(({ routerId }) => selected.has(routerId));
                    const largest = Math.max(...members.map(({ processorShare }) => processorShare));
                    expect(chosen.length).toBeLessThanOrEqual(members.length / 2);
                    expect(chosen.filter(({ processorShare }) => processorShare * 1.5 > largest)).toEqual([]);
                }
            }),
        );
    });
});

describe("a small router", () => {
    it("leaves once a place is free, keeps it for three seconds, and then yields it", () => {
        const reserve = new ReadinessReserve();
        const update = (nowMs: number, withdrawn: string, even = 0.5): WithdrawalLevel | undefined =>
            reserve.update("a2", createFleet({ a: even, b: 0.3, c: 0.2 }, withdrawn), nowMs);
        expect([
            update(0, "b2 b3"),
            update(200, "b2"),
            update(400, "b2 a2"),
            update(3_000, "b2 a2", 0.1),
            update(3_400, "b2 a2", 0.1),
        ]).toEqual([undefined, "reserve", "reserve", "reserve", undefined]);
    });

    // A burst's end left small routers out of the balancer in calm time.
    it("leaves beyond the reserve only while an even share exceeds its capacity", () => {
        const reserve = new ReadinessReserve();
        const update = (nowMs: number, even: number): WithdrawalLevel | undefined =>
            reserve.update("a2", createFleet({ a: even, b: 0.3, c: 0.2 }, "b2 b3"), nowMs);
        expect([update(0, 0.8), update(200, 1), update(4_000, 0.95), update(6_000, 0.7), update(7_200, 0.7)]).toEqual([
            undefined,
            "beyond-reserve",
            "beyond-reserve",
            "beyond-reserve",
            undefined,
        ]);
        expect([update(8_000, 1), update(11_200, 1), update(11_400, 0.5)]).toEqual([
            "beyond-reserve",
            "beyond-reserve",
            undefined,
        ]);
    });

    // A fleet cut off from its neighbours' reports, one of equal routers, and one whose large routers are withdrawn or busy.
    it("stays without larger routers that can take its callers", () => {
        const fleet = createFleet({ a: 0.5, b: 0.3, c: 0.2 });
        const own = fleet.filter(({ routerId }) => routerId === "a2");
        const isLarge = ({ dataCentre, processorShare }: FleetRouter): boolean =>
            dataCentre === "a" && processorShare === largeShare;
        const variants = [
            own,
            fleet.map(router => ({ ...router, processorShare: 1, utilization: 0.5 })),
            fleet.map(router => ({ ...router, isWithdrawn: isLarge(router) })),
            fleet.map(router => ({ ...router, utilization: isLarge(router) ? 0.95 : 0 })),
            createDataCentre("a", 16, 0).map(router => ({ ...router, utilization: isLarge(router) ? 0.7 : 0 })),
        ];
        expect(variants.map(routers => new ReadinessReserve().update("a2", routers, 0))).toEqual(
            variants.map(() => undefined),
        );
    });
});
