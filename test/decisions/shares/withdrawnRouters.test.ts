import { describe, expect, it } from "vitest";
import { findLeastPart } from "../../../bench/gateway/fairness.js";
import { runPromptFleet } from "../../../bench/gateway/promptFleet.js";
import { unevenFleet, unevenLoads } from "../../../bench/gateway/saturation.js";

/** Of what an account asked, or of what the best served one got, whichever is less. */
const leastPart = 0.5;
const seeds = [1];

describe("small routers of a data centre that become overloaded together", () => {
    // All fail the readiness check at once; with under half of its routers left, the balancer goes on using all of them.
    it.fails("serve an account whose callers are all sent to one of them as they serve the flood", () => {
        const parts = seeds.map(seed =>
            findLeastPart(runPromptFleet({ ...unevenFleet, seed }, unevenLoads).seconds, "begun"),
        );
        expect(Math.min(...parts)).toBeGreaterThanOrEqual(leastPart);
    });
});
