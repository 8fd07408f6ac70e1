import { describe, expect, it } from "vitest";
import { WindowedSum } from "../../../src/decisions/structures/windowedSum.js";

const spanMs = 4_000;

describe("a sum over the last span", () => {
    // A router that was just started counts an account's use within its first seconds. Its clock begins at zero, and the
    // parts before that have negative numbers; read from the array they gave NaN, which no comparison ever finds too
    // large, so after each restart no account was ever over its share again.
    it("is a number from the first moment of a process on", () => {
        const sum = new WindowedSum(spanMs);
        sum.add(10, 0);
        sum.add(5, 1_000);
        expect(sum.getTotal(1_200)).toBe(15);
    });

    it("forgets what is older than the span, part by part", () => {
        const sum = new WindowedSum(spanMs);
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

    it("counts the newest part of the span alone, and of the part that it cuts a proportion", () => {
        const sum = new WindowedSum(spanMs);
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
