import { describe, expect, it } from "vitest";
import { EngineShares } from "../../../src/decisions/shares/engineShares.js";

const [burst, steady, small] = [1, 2, 3];
const tokens = 5_000;

/** Records the given number of requests per account, all of them granted. */
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
    it("have no surplus while everything they request is granted", () => {
        const shares = createShares({ [burst]: 20, [steady]: 10, [small]: 1 });
        const surpluses = [burst, steady, small].map(account => shares.computeSurplus(account, tokens, 2_000));
        expect(surpluses.map(surplus => Number(surplus.toFixed(2)))).toMatchInlineSnapshot(`
          [
            0,
            0,
            0,
          ]
        `);
    });

    // Otherwise an account with one long prompt would be held back as if it had sent a burst.
    it("have no surplus for a single request or for grants outside the window", () => {
        const shares = createShares({ [burst]: 1, [steady]: 10 });
        const once = shares.computeSurplus(burst, tokens, 1_000);
        expect([once, shares.computeSurplus(steady, tokens, 60_000)]).toEqual([0, 0]);
    });
});
