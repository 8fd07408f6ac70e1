import { describe, expect, it } from "vitest";
import { findLeastPart } from "../../../bench/gateway/fairness.js";
import { floodedFleet, floodScenarios, threeFloods } from "../../../bench/gateway/floods.js";
import { runPromptFleet } from "../../../bench/gateway/promptFleet.js";

/** Of what an account asked, or of what the best served one got, whichever is less. */
const leastPart = 0.5;
const seeds = [1, 2, 3, 4, 5];
const twentySeeds = Array.from({ length: 20 }, (...[, index]) => index + 1);

/** The least part over all seeds. */
function computeLeastPart(routerCount: number, peerPeriodMs: number): number {
    const parts = seeds.map(seed =>
        findLeastPart(runPromptFleet({ ...floodedFleet, routerCount, peerPeriodMs, seed }, threeFloods).seconds),
    );
    return Math.min(...parts);
}

describe("accounts that flood one beside the other", () => {
    // Each second some of an account's requests are refused, and over six seconds it gets less than half of what its neighbour
    // gets. Three accounts flood, one after the other begins, and a quarter of the engines is lost on the way. Routers level
    // them by what each told the others last. All let in the account that was behind then, for a whole round, and none of the
    // others; in the next round another one. Shown by the same play with sums that are never late: none got less than half.
    // Besides, an account that was quiet takes the share of four seconds within its flood's first second.
    it.each([
        ["six routers each 400 ms", 6, 400],
        ["six routers each second", 6, 1_000],
        ["24 routers each 600 ms", 24, 600],
        ["40 routers each 2,900 ms", 40, 2_900],
        ["68 routers each 2,900 ms", 68, 2_900],
    ])("all get their part while %s tell one another what they gave", (...[, routerCount, peerPeriodMs]) => {
        expect(computeLeastPart(routerCount, peerPeriodMs)).toBeGreaterThanOrEqual(leastPart);
    });

    // A quarter of the engines is lost, and what is left gives less than was promised. The level of the shares is then above what
    // accounts get, so that none of them counts as beyond its share and what is given goes to who asks first.
    it("all get their part while the fleet gives less than was promised", () => {
        const { fleet, loads } = floodScenarios.find(({ name }) => name === "three-floods-large-promise")!;
        const parts = twentySeeds.map(seed => findLeastPart(runPromptFleet({ ...fleet, seed }, loads).seconds));
        expect(Math.min(...parts)).toBeGreaterThanOrEqual(leastPart);
    });
});
