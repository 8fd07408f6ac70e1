import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { FairShedding } from "../../../src/decisions/admission/fairShedding.js";

const requests = 2_000;

/** Part of the requests that are refused of an account that floods and of one that has had little; every nth is of the latter. */
function measureShed(shedShare: number, everyNth: number): string {
    const shedding = new FairShedding();
    const random = new SeededRandom(7);
    const shed = { flood: 0, small: 0 };
    const asked = { flood: 0, small: 0 };
    for (let index = 0; index < requests; index++) {
        const account = index % everyNth === 0 ? "small" : "flood";
        asked[account] += 1;
        shed[account] += shedding.check(shedShare, account === "flood" ? 1.3 : 0.1, random) ? 1 : 0;
    }
    return `flood ${(shed.flood / asked.flood).toFixed(2)}, small ${(shed.small / asked.small).toFixed(2)}`;
}

describe("a router that is too slow for all requests", () => {
    it("refuses those of an account that has had the even level first", () => {
        expect([measureShed(0, 5), measureShed(0.3, 5), measureShed(0.6, 5)]).toMatchInlineSnapshot(`
          [
            "flood 0.00, small 0.00",
            "flood 0.39, small 0.00",
            "flood 0.77, small 0.01",
          ]
        `);
    });

    it("refuses others too where that is not enough", () => {
        expect([measureShed(0.6, 2), measureShed(0.9, 2)]).toMatchInlineSnapshot(`
          [
            "flood 1.00, small 0.23",
            "flood 1.00, small 0.83",
          ]
        `);
    });
});
