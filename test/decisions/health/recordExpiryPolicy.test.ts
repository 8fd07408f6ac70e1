import { expect, it } from "vitest";
import { BoundedExpiryGrace, type StoreContact } from "../../../src/decisions/health/recordExpiryPolicy.js";

const bounds = { drainMs: 2_000, contactMs: 3_000, deliveryMs: 300 };
const nowMs = 10_000;

/** For how long a target is kept whose removal is read now; milliseconds. */
function computeKeptMs(contact: StoreContact): number {
    const { keptUntilMs } = new BoundedExpiryGrace(() => contact, bounds).checkRemoval(nowMs);
    return keptUntilMs === undefined ? 0 : keptUntilMs - nowMs;
}

// Kept for as long as records may take to come back, a target that has left would get requests beyond its bound.
it("keeps a target until its record is back or a departure binds, whichever is first", () => {
    const outage = { lastCallAtMs: 9_500, answeredAtMs: 9_900 };
    expect({
        "no outage": computeKeptMs({ coveredUntilMs: 9_000, outage: undefined }),
        "just back": computeKeptMs({ coveredUntilMs: 4_000, outage }),
        "still away": computeKeptMs({ coveredUntilMs: 4_000, outage: { ...outage, answeredAtMs: undefined } }),
        "noticed late": computeKeptMs({ coveredUntilMs: 4_000, outage: { lastCallAtMs: 7_500, answeredAtMs: 9_900 } }),
        "read since": computeKeptMs({ coveredUntilMs: 9_900, outage: { lastCallAtMs: 7_500, answeredAtMs: 8_500 } }),
        "long ago": computeKeptMs({ coveredUntilMs: 9_000, outage: { lastCallAtMs: 3_000, answeredAtMs: 3_500 } }),
        "nothing read before": computeKeptMs({ coveredUntilMs: undefined, outage }),
    }).toMatchInlineSnapshot(`
      {
        "just back": 2200,
        "long ago": 0,
        "no outage": 0,
        "nothing read before": 2200,
        "noticed late": 200,
        "read since": 800,
        "still away": 2200,
      }
    `);
});
