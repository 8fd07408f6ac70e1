import { describe, expect, it } from "vitest";
import { ResponseTiming } from "../../src/gateway/responseTiming.js";

describe("the timing of a response", () => {
    const route = { kind: "stream", objectiveMs: 800, pauseObjectiveMs: 400 } as const;

    /** Measurements of a response whose outputs are sent at these times after the request. */
    function describeTiming(atMs: readonly number[]): unknown {
        const timing = new ResponseTiming(route, 1_000);
        atMs.forEach(time => timing.recordOutput(1_000 + time));
        const { firstOutputMs, longestPauseMs, timeliness } = timing;
        return [firstOutputMs, longestPauseMs, timeliness];
    }

    it("reports the first output, the longest pause and the timeliness", () => {
        expect([[], [700, 800], [900, 950], [100, 300, 800, 900]].map(describeTiming)).toMatchInlineSnapshot(`
          [
            [
              undefined,
              0,
              undefined,
            ],
            [
              700,
              100,
              "in-time",
            ],
            [
              900,
              50,
              "late-first-output",
            ],
            [
              100,
              500,
              "late-pause",
            ],
          ]
        `);
    });
});
