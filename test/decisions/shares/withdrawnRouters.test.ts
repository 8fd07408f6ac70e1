import { describe, expect, it } from "vitest";
import { findLeastPart } from "../../../bench/gateway/fairness.js";
import { runPromptFleet } from "../../../bench/gateway/promptFleet.js";
import { unevenFleet, unevenLoads } from "../../../bench/gateway/saturation.js";

/**
 * Minimum ratio of served tokens to what the account requested or what the best-served account received, whichever is
 * less.
 */
const minRatio = 0.5;
const seeds = [1];

describe("small routers of a data centre that become overloaded together", () => {
    // All of them fail the readiness check at once. With less than half of its routers left, the balancer continues to
    // use all of them.
    it.fails("serve an account whose callers are all sent to one of them as well as the overloading accounts", () => {
        const ratios = seeds.map(seed =>
            findLeastPart(runPromptFleet({ ...unevenFleet, seed }, unevenLoads).seconds, "begun"),
        );
        expect(Math.min(...ratios)).toBeGreaterThanOrEqual(minRatio);
    });
});
