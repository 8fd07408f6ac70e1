import { describe, expect, it } from "vitest";
import {
    checkAdmission,
    computeDynamicThreshold,
    type AdmissionView,
} from "../../../src/decisions/admission/admission.js";
import { DrainRate } from "../../../src/decisions/admission/drainRate.js";

const limits = { maxWaitingTotal: 900, maxWaiting: 10_000, maxOpen: 10_000 };
const calm: AdmissionView = {
    waitingTotal: 0,
    waitingOfAccount: 0,
    openOfAccount: 0,
    relativeWeight: 1,
    expectedWaitMs: undefined,
    remainingMs: 10_000,
};
const describeVerdict = (view: Partial<AdmissionView>): string =>
    checkAdmission({ ...calm, ...view }, limits).match(
        verdict => verdict,
        refusal => `${refusal.reason}, back in ${refusal.retryAfterMs} ms`,
    );

/** Lets accounts send in turn until each was refused; returns what each has waiting. */
function runFlood(relativeWeights: readonly number[]): readonly number[] {
    const waiting = relativeWeights.map(() => 0);
    for (let round = 0; round < limits.maxWaitingTotal; round++) {
        relativeWeights.forEach((relativeWeight, index) => {
            const waitingTotal = waiting.reduce((sum, count) => sum + count, 0);
            const view = { ...calm, waitingTotal, waitingOfAccount: waiting[index]!, relativeWeight };
            if (checkAdmission(view, limits).isOk()) {
                waiting[index]! += 1;
            }
        });
    }
    return waiting;
}

describe("checkAdmission", () => {
    it("answers each load with its own refusal and a time to come back", () => {
        expect({
            calm: describeVerdict({}),
            late: describeVerdict({ remainingMs: 0 }),
            saturated: describeVerdict({ expectedWaitMs: 14_000 }),
            hopeless: describeVerdict({ expectedWaitMs: 900_000 }),
            full: describeVerdict({ waitingTotal: 900 }),
            flooding: describeVerdict({ waitingTotal: 500, waitingOfAccount: 450 }),
            besideTheFlood: describeVerdict({ waitingTotal: 500, waitingOfAccount: 3 }),
        }).toMatchInlineSnapshot(`
          {
            "besideTheFlood": "admitted",
            "calm": "admitted",
            "flooding": "account-queue-full, back in 1000 ms",
            "full": "queue-full, back in 1000 ms",
            "hopeless": "deadline, back in 60000 ms",
            "late": "deadline, back in 1000 ms",
            "saturated": "deadline, back in 4000 ms",
          }
        `);
    });

    it("leaves room for the others whoever floods", () => {
        // A small account alone, the heaviest alone, and four at once: the rest of the 900 places stays free.
        expect([runFlood([1]), runFlood([8]), runFlood([1, 1, 1, 1])]).toMatchInlineSnapshot(`
          [
            [
              450,
            ],
            [
              800,
            ],
            [
              180,
              180,
              180,
              180,
            ],
          ]
        `);
        expect(computeDynamicThreshold(900, 899, 1)).toBe(1);
    });
});

describe("DrainRate", () => {
    it("says nothing after quiet and follows a loss of capacity within seconds", () => {
        const rate = new DrainRate();
        rate.handleBusy(100_000);
        const afterQuiet = rate.estimateWaitMs(50, 100_500);
        for (let second = 1; second <= 20; second++) {
            Array.from({ length: 10 }).forEach(() => rate.handleStart(100_000 + second * 1_000));
        }
        const steady = rate.estimateWaitMs(50, 120_000);
        const afterTenIdleSeconds = rate.estimateWaitMs(50, 130_000);
        expect([afterQuiet, steady, afterTenIdleSeconds].map(ms => ms && Math.round(ms))).toMatchInlineSnapshot(`
          [
            undefined,
            4758,
            14214,
          ]
        `);
    });
});
