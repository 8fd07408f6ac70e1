import { describe, expect, it } from "vitest";
import { runPromptFleet } from "../../../bench/gateway/promptFleet.js";
import { unevenFleet, unevenLoads } from "../../../bench/gateway/saturation.js";

const seeds = [1, 2];
/** First and last (exclusive) whole second of the load. */
const fromSecond = 3;
const toSecond = 7;

describe("a router that receives more connections than it can read", () => {
    // With a long accept queue read in order of arrival, every request is read only after its caller has timed out, so that none is served.
    it.each(seeds)("serves some requests in every second, with seed %i", seed => {
        const { seconds } = runPromptFleet({ ...unevenFleet, seed }, unevenLoads);
        const loaded = seconds.get("narrow")!.slice(fromSecond, toSecond);
        expect(loaded.filter(second => second.begun === 0)).toEqual([]);
    });
});
