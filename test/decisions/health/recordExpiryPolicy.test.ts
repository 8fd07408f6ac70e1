import { expect, it } from "vitest";
import { BoundedExpiryGrace, type StoreContact } from "../../../src/decisions/health/recordExpiryPolicy.js";

const bounds = { drainMs: 2_000, contactMs: 3_000, deliveryMs: 300 };
const nowMs = 10_000;

/** Time in milliseconds for which a target is kept whose removal is read now. */
function computeKeptMs(contact: StoreContact): number {
    const { keptUntilMs } = new BoundedExpiryGrace(() => contact, bounds).checkRemoval(nowMs);
    return keptUntilMs === undefined ? 0 : keptUntilMs - nowMs;
}

// If every target were kept until its record could have reappeared, a target that has left would receive requests
// beyond the allowed time.
it("keeps a target until its record may have reappeared or a departure takes effect, whichever is first", () => {
    const outage = { lastCallAtMs: 9_500, answeredAtMs: 9_900 };
    expect({
        "no outage": computeKeptMs({ coveredUntilMs: 9_000, outage: undefined }),
        "just recovered": computeKeptMs({ coveredUntilMs: 4_000, outage }),
        "still unavailable": computeKeptMs({ coveredUntilMs: 4_000, outage: { ...outage, answeredAtMs: undefined } }),
        "detected late": computeKeptMs({ coveredUntilMs: 4_000, outage: { lastCallAtMs: 7_500, answeredAtMs: 9_900 } }),
        "changes read since": computeKeptMs({
            coveredUntilMs: 9_900,
            outage: { lastCallAtMs: 7_500, answeredAtMs: 8_500 },
        }),
        "outage long ago": computeKeptMs({
            coveredUntilMs: 9_000,
            outage: { lastCallAtMs: 3_000, answeredAtMs: 3_500 },
        }),
        "nothing read before": computeKeptMs({ coveredUntilMs: undefined, outage }),
    }).toMatchInlineSnapshot(`
      {
        "changes read since": 800,
        "detected late": 200,
        "just recovered": 2200,
        "no outage": 0,
        "nothing read before": 2200,
        "outage long ago": 0,
        "still unavailable": 2200,
      }
    `);
});
