import { expect, it } from "vitest";
import { fleetSizes, measureSignals } from "../../../bench/gateway/signalReport.js";

const seed = 1;

// A quarter of the engines leave, or refuse all requests with Retry-After, while their records remain ready.
it.each(fleetSizes)("$routerCount routers send no late requests to leaving engines, and none during pauses", size => {
    const [leaving, pausing] = measureSignals(size, "answers-and-peers", seed);
    expect({ sentLate: leaving.sentLate, cut: leaving.cut, sentInPause: pausing.sentInPause }).toEqual({
        sentLate: 0,
        cut: 0,
        sentInPause: 0,
    });
});
