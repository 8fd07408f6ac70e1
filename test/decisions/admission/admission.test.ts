import { describe, expect, it } from "vitest";
import {
    checkAdmission,
    computeDynamicThreshold,
    type AdmissionView,
} from "../../../src/decisions/admission/admission.js";
import { DrainRate } from "../../../src/decisions/admission/drainRate.js";

const limits = { maxWaitingTotal: 900, maxWaiting: 10_000, maxOpen: 10_000 };
const unloaded: AdmissionView = {
    waitingTotal: 0,
    waitingOfAccount: 0,
    openOfAccount: 0,
    relativeWeight: 1,
    expectedWaitMs: undefined,
    remainingMs: 10_000,
};
const describeDecision = (view: Partial<AdmissionView>): string =>
    checkAdmission({ ...unloaded, ...view }, limits).match(
        decision => decision,
        refusal => `${refusal.reason}, retry after ${refusal.retryAfterMs} ms`,
    );

/** Sends requests of the accounts in turn until all are refused; returns the number of waiting requests of each account. */
function runOverload(relativeWeights: readonly number[]): readonly number[] {
    const waiting = relativeWeights.map(() => 0);
    for (let round = 0; round < limits.maxWaitingTotal; round++) {
        relativeWeights.forEach((relativeWeight, index) => {
            const waitingTotal = waiting.reduce((sum, count) => sum + count, 0);
            const view = { ...unloaded, waitingTotal, waitingOfAccount: waiting[index]!, relativeWeight };
            if (checkAdmission(view, limits).isOk()) {
                waiting[index]! += 1;
            }
        });
    }
    return waiting;
}

describe("checkAdmission", () => {
    it("refuses each kind of load with its own reason and retry delay", () => {
        expect({
            unloaded: describeDecision({}),
            late: describeDecision({ remainingMs: 0 }),
            saturated: describeDecision({ expectedWaitMs: 14_000 }),
            unservable: describeDecision({ expectedWaitMs: 900_000 }),
            full: describeDecision({ waitingTotal: 900 }),
            overloading: describeDecision({ waitingTotal: 500, waitingOfAccount: 450 }),
            otherAccount: describeDecision({ waitingTotal: 500, waitingOfAccount: 3 }),
        }).toMatchInlineSnapshot(`
          {
            "full": "queue-full, retry after 1000 ms",
            "late": "deadline, retry after 1000 ms",
            "otherAccount": "admitted",
            "overloading": "account-queue-full, retry after 1000 ms",
            "saturated": "deadline, retry after 4000 ms",
            "unloaded": "admitted",
            "unservable": "deadline, retry after 60000 ms",
          }
        `);
    });

    it("leaves queue capacity for other accounts, whichever accounts overload it", () => {
        // A light account alone, the heaviest account alone, and four light ones together: the rest of the 900 places stays free.
        expect([runOverload([1]), runOverload([8]), runOverload([1, 1, 1, 1])]).toMatchInlineSnapshot(`
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
    it("gives no estimate after idle time and adapts to a loss of capacity within seconds", () => {
        const rate = new DrainRate();
        rate.handleBusy(100_000);
        const afterIdle = rate.estimateWaitMs(50, 100_500);
        for (let second = 1; second <= 20; second++) {
            Array.from({ length: 10 }).forEach(() => rate.handleStart(100_000 + second * 1_000));
        }
        const steady = rate.estimateWaitMs(50, 120_000);
        const afterTenSecondsWithoutStart = rate.estimateWaitMs(50, 130_000);
        expect([afterIdle, steady, afterTenSecondsWithoutStart].map(ms => ms && Math.round(ms))).toMatchInlineSnapshot(`
          [
            undefined,
            4758,
            14214,
          ]
        `);
    });
});
