import { describe, expect, it } from "vitest";
import { OutputLength } from "../../../src/decisions/shares/outputLength.js";

describe("the estimated output length of a route's requests", () => {
    // Callers request a maximum that is three times the actual output. If the maximum were charged, accounts with short
    // prompts would appear to have used up their share after half of it.
    it("is the requested maximum until a response is complete, and the mean of complete responses after that", () => {
        const length = new OutputLength();
        const before = length.estimate(952);
        for (let response = 0; response < 500; response++) {
            length.observe(response % 2 === 0 ? 200 : 400);
        }
        expect([before, Math.round(length.estimate(952) / 50) * 50, length.estimate(100)]).toEqual([952, 300, 100]);
    });
});
