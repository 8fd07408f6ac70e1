import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { CatchUpCap } from "../../../src/decisions/shares/catchUpCap.js";
import { ServiceLedger, type ServiceClaim } from "../../../src/decisions/shares/serviceLedger.js";

const claim = fc.record({ charged: fc.nat(1_000), refunded: fc.nat(1_000), lift: fc.nat(1_000) });

const mergeAll = (claims: readonly ServiceClaim[]): number => {
    const ledger = new ServiceLedger();
    ledger.chargeAccount("club", 7, 1);
    claims.forEach(entry => ledger.mergeClaim("club", entry, 0));
    return ledger.getNormalizedService("club");
};

describe("ServiceLedger", () => {
    it("gives the same service whatever the order of claims and however often each comes", () => {
        fc.assert(
            fc.property(
                fc
                    .array(claim, { minLength: 1, maxLength: 12 })
                    .chain(claims =>
                        fc.tuple(
                            fc.constant(claims),
                            fc.shuffledSubarray(claims, { minLength: claims.length }),
                            fc.array(fc.constantFrom(...claims)),
                        ),
                    ),
                ([claims, shuffled, repeats]) => {
                    const expected = mergeAll(claims);
                    return mergeAll(shuffled) === expected && mergeAll([...claims, ...repeats]) === expected;
                },
            ),
            { seed: 1, numRuns: 300 },
        );
    });

    it("lifts to a floor, never down, and tells own changes since a report", () => {
        const ledger = new ServiceLedger();
        ledger.chargeAccount("club", 10, 1);
        ledger.recordRefund("club", 4, 2);
        const lifted = [
            ledger.applyLift("club", 5, 3),
            ledger.applyLift("club", 50, 3),
            ledger.applyLift("club", 50, 4),
        ];
        ledger.mergeClaim("department", { charged: 100, refunded: 20, lift: 0 }, 0);
        expect({
            lifted,
            service: ["club", "department"].map(name => ledger.getNormalizedService(name)),
            sinceTwo: ledger.listChangedSince(2),
            sinceThree: ledger.listChangedSince(3),
        }).toMatchInlineSnapshot(`
          {
            "lifted": [
              false,
              true,
              false,
            ],
            "service": [
              50,
              80,
            ],
            "sinceThree": [],
            "sinceTwo": [
              {
                "charged": 10,
                "clientAccount": "club",
                "lift": 44,
                "refunded": 4,
              },
            ],
          }
        `);
    });

    // The caller sees: no stall after its account returns. An agent that has just started hears of all times past in one
    // claim; that is no sign of present activity, while a rise after it is.
    it("takes an account for idle until claims rise", () => {
        const ledger = new ServiceLedger();
        const idle: boolean[] = [];
        ledger.mergeClaim("club", { charged: 1_000, refunded: 0, lift: 0 }, 10_000);
        idle.push(ledger.isIdle("club", 10_001));
        ledger.mergeClaim("club", { charged: 1_001, refunded: 0, lift: 0 }, 11_000);
        idle.push(ledger.isIdle("club", 11_001), ledger.isIdle("club", 14_000));
        expect(idle).toEqual([true, false, true]);
    });
});

describe("CatchUpCap", () => {
    it("lets a lag stand that is younger than its window or smaller than eight of the largest cost", () => {
        const cap = new CatchUpCap();
        cap.observeCost(100, 0);
        const floors: (number | undefined)[] = [];
        for (let nowMs = 0; nowMs <= 12_000; nowMs += 1_000) {
            cap.observeMaxService(nowMs < 5_000 ? 1_000 : 50_000, nowMs);
            floors.push(cap.getFloor(nowMs));
        }
        for (let nowMs = 13_000; nowMs <= 16_000; nowMs += 1_000) {
            cap.observeMaxService(50_000, nowMs);
            floors.push(cap.getFloor(nowMs));
        }
        expect(floors.map(floor => floor ?? "-").join(" ")).toMatchInlineSnapshot(
            `"- - - - - 1000 1000 1000 1000 1000 49200 49200 49200 49200 49200 49200 49200"`,
        );
    });
});
