import { describe, expect, it } from "vitest";
import { runPromptFleet } from "../../../bench/gateway/promptFleet.js";
import { unevenFleet, unevenLoads } from "../../../bench/gateway/saturation.js";

const seeds = [1, 2];
/** The load is on from here to the last whole second. */
const fromSecond = 3;
const toSecond = 7;

describe("a router that gets more connections than it can read", () => {
    // Read in order of arrival, all requests lie unread until their callers have left, and the router works for nobody.
    it.each(seeds)("serves some of them in every second, with seed %i", seed => {
        const { seconds } = runPromptFleet({ ...unevenFleet, seed }, unevenLoads);
        const begun = seconds.get("narrow")!.slice(fromSecond, toSecond);
        expect(begun.filter(second => second.begun === 0)).toEqual([]);
    });
});
