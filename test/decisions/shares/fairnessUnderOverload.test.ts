import { describe, expect, it } from "vitest";
import { findLeastPart } from "../../../bench/gateway/fairness.js";
import { floodedFleet, floodScenarios, threeFloods } from "../../../bench/gateway/floods.js";
import { runPromptFleet } from "../../../bench/gateway/promptFleet.js";

/**
 * Minimum ratio of served tokens to what the account requested or what the best-served account received, whichever is
 * less.
 */
const minRatio = 0.5;
const seeds = [1, 2, 3, 4, 5];
const twentySeeds = Array.from({ length: 20 }, (...[, index]) => index + 1);

/** The minimum ratio over all seeds. */
function computeMinRatio(routerCount: number, peerPeriodMs: number): number {
    const ratios = seeds.map(seed =>
        findLeastPart(runPromptFleet({ ...floodedFleet, routerCount, peerPeriodMs, seed }, threeFloods).seconds),
    );
    return Math.min(...ratios);
}

describe("accounts that overload the fleet at the same time", () => {
    // Three accounts overload the fleet, each starting after the previous one, and a quarter of the engines is lost in
    // between. Routers balance the accounts by the last reports of the others. Without estimates, all routers admit
    // only the account that was behind in the last round, and another one in the next round. Some requests of an
    // account are then refused each second, and over six seconds it is served less than half of what another account
    // receives. With totals that are never late, no account is served less than half in the same simulation. Besides,
    // an account that was inactive would take the share of four seconds within the first second of its burst.
    it.each([
        ["six routers that report every 400 ms", 6, 400],
        ["six routers that report every second", 6, 1_000],
        ["24 routers that report every 600 ms", 24, 600],
        ["40 routers that report every 2,900 ms", 40, 2_900],
        ["68 routers that report every 2,900 ms", 68, 2_900],
    ])("are all served their minimum with %s", (...[, routerCount, peerPeriodMs]) => {
        expect(computeMinRatio(routerCount, peerPeriodMs)).toBeGreaterThanOrEqual(minRatio);
    });

    // A quarter of the engines is lost, and the rest serves less than the nominal throughput. The fair level is then
    // above what accounts are served, so no account counts as beyond its share and capacity goes to the first that
    // requests it.
    it("are all served their minimum while the fleet serves less than its nominal throughput", () => {
        const { fleet, loads } = floodScenarios.find(({ name }) => name === "three-floods-large-promise")!;
        const ratios = twentySeeds.map(seed => findLeastPart(runPromptFleet({ ...fleet, seed }, loads).seconds));
        expect(Math.min(...ratios)).toBeGreaterThanOrEqual(minRatio);
    });
});
