import { describe, expect, it } from "vitest";
import { OutputLength } from "../../../src/decisions/shares/outputLength.js";

describe("the output that a route's requests have", () => {
    // Callers request a maximum that is three times the actual output. If the maximum were charged, accounts with short
    // prompts would appear to have used up their share after half of it.
    it("is the callers' most until an answer was whole, and then the mean of answers", () => {
        const length = new OutputLength();
        const before = length.estimate(952);
        for (let answer = 0; answer < 500; answer++) {
            length.observe(answer % 2 === 0 ? 200 : 400);
        }
        expect([before, Math.round(length.estimate(952) / 50) * 50, length.estimate(100)]).toEqual([952, 300, 100]);
    });
});
