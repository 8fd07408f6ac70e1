import { describe, expect, it } from "vitest";
import type { AdmissionOutcome } from "../../src/gateway/admissionOutcome.js";
import { RequestAdmission } from "../../src/gateway/requestAdmission.js";
import { createAdmissionOptions, createRouter, service } from "./admissionFixture.js";

/** Checks ten requests for an engine with a queue; returns their outcomes, which are missing where an owner was asked. */
function checkRequests(fillsSpareCapacity: boolean, queuedTokens: number, remainingMs: number): AdmissionOutcome[] {
    return Array.from({ length: 10 }).flatMap(() => {
        const outcomes: AdmissionOutcome[] = [];
        const router = createRouter("e0", [], { fillsSpareCapacity });
        router.directory.listAll().forEach(target => (target.ownWaitingTokens = queuedTokens));
        const options = { ...createAdmissionOptions(router, undefined, false), getRemainingMs: () => remainingMs };
        new RequestAdmission(options).check([service], outcome => outcomes.push(outcome));
        return outcomes;
    });
}

function countRefused(outcomes: readonly AdmissionOutcome[]): number {
    return outcomes.filter(outcome => outcome.selection === undefined && outcome.reason === "late").length;
}

describe("a request whose caller leaves before any engine has output", () => {
    // The engine would prefill prompts that nobody waits for.
    it("is refused at once with the setting", () => {
        const outcomes = checkRequests(true, 30_000, 500);
        expect(countRefused(outcomes)).toBe(10);
    });

    it("is not refused for that reason without the setting, or with enough time", () => {
        expect([checkRequests(false, 30_000, 500), checkRequests(true, 30_000, 8_000)].map(countRefused)).toEqual([
            0, 0,
        ]);
    });

    // The estimate of the engine's speed would never be corrected if nothing were sent there.
    it("is sent to an engine without a queue however slow it is expected to be", () => {
        expect(countRefused(checkRequests(true, 0, 1))).toBe(0);
    });
});
