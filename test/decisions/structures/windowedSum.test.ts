import { describe, expect, it } from "vitest";
import { WindowedSum } from "../../../src/decisions/structures/windowedSum.js";

const windowMs = 4_000;

describe("WindowedSum", () => {
    // The clock of a router starts at 0 with the process, and the parts before that have negative numbers. As array indexes these would
    // give NaN, which is never greater than a limit, so that after a restart no account would ever be over its share.
    it("returns a number in the first seconds of a process", () => {
        const sum = new WindowedSum(windowMs);
        sum.add(10, 0);
        sum.add(5, 1_000);
        expect(sum.getTotal(1_200)).toBe(15);
    });

    it("drops amounts older than the window, one part at a time", () => {
        const sum = new WindowedSum(windowMs);
        sum.add(10, 100);
        sum.add(1, 2_100);
        expect([3_900, 4_400, 5_900, 6_600, 60_000].map(atMs => sum.getTotal(atMs))).toMatchInlineSnapshot(`
          [
            11,
            1,
            1,
            0,
            0,
          ]
        `);
    });

    it("sums the end of the window, with a proportion of the part that is only partly included", () => {
        const sum = new WindowedSum(windowMs);
        sum.add(8, 100);
        sum.add(4, 3_100);
        expect([0, 200, 400, 900, 3_400].map(recentMs => sum.getRecent(recentMs, 3_400))).toMatchInlineSnapshot(`
          [
            0,
            2,
            4,
            4,
            12,
          ]
        `);
    });
});
