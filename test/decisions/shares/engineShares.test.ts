import { describe, expect, it } from "vitest";
import { EngineShares } from "../../../src/decisions/shares/engineShares.js";

const [flood, steady, small] = [1, 2, 3];
const tokens = 5_000;

/** Each account asks so often; all that is asked is granted. */
function createShares(counts: Readonly<Record<number, number>>): EngineShares {
    const shares = new EngineShares();
    for (const [account, count] of Object.entries(counts)) {
        for (let index = 0; index < count; index++) {
            shares.recordRequested(Number(account), tokens, index * 100);
            shares.recordGranted(Number(account), tokens, index * 100);
        }
    }
    return shares;
}

describe("accounts at one engine", () => {
    it("stand by what they got over the even level, the last request left out", () => {
        const shares = createShares({ [flood]: 20, [steady]: 10, [small]: 1 });
        const surpluses = [flood, steady, small].map(account => shares.computeSurplus(account, tokens, 2_000));
        expect(surpluses.map(surplus => Number(surplus.toFixed(2)))).toMatchInlineSnapshot(`
          [
            0,
            0,
            0,
          ]
        `);
    });

    // An account that was given one long prompt would otherwise be held back for it as if it had flooded.
    it("are not held back for a single request, nor for what they got long ago", () => {
        const shares = createShares({ [flood]: 1, [steady]: 10 });
        const once = shares.computeSurplus(flood, tokens, 1_000);
        expect([once, shares.computeSurplus(steady, tokens, 60_000)]).toEqual([0, 0]);
    });
});
