import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { FairShedding } from "../../../src/decisions/admission/fairShedding.js";

const requests = 2_000;

/** Fractions of requests refused of a heavy account and of a small one, where every nth request is of the small one. */
function measureShed(shedShare: number, everyNth: number): string {
    const shedding = new FairShedding();
    const random = new SeededRandom(7);
    const shed = { heavy: 0, small: 0 };
    const requested = { heavy: 0, small: 0 };
    for (let index = 0; index < requests; index++) {
        const account = index % everyNth === 0 ? "small" : "heavy";
        requested[account] += 1;
        shed[account] += shedding.check(shedShare, account === "heavy" ? 1.3 : 0.1, random) ? 1 : 0;
    }
    return `heavy ${(shed.heavy / requested.heavy).toFixed(2)}, small ${(shed.small / requested.small).toFixed(2)}`;
}

describe("an overloaded router", () => {
    it("refuses requests of an account that was served the fair level first", () => {
        expect([measureShed(0, 5), measureShed(0.3, 5), measureShed(0.6, 5)]).toMatchInlineSnapshot(`
          [
            "heavy 0.00, small 0.00",
            "heavy 0.39, small 0.00",
            "heavy 0.77, small 0.01",
          ]
        `);
    });

    it("refuses requests of other accounts, too, if that is not enough", () => {
        expect([measureShed(0.6, 2), measureShed(0.9, 2)]).toMatchInlineSnapshot(`
          [
            "heavy 1.00, small 0.23",
            "heavy 1.00, small 0.83",
          ]
        `);
    });
});
