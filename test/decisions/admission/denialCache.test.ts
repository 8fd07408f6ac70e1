import { expect, it } from "vitest";
import { DenialCache } from "../../../src/decisions/admission/denialCache.js";

/** An idle router of ten, all of which the account reaches. */
const spread = { utilization: 0.1, accountFraction: 0.1, routerCount: 10 };

it("holds a denial for the account that was denied, for as little of the limit, until an engine has room", () => {
    const memory = new DenialCache();
    memory.record("flood", 0.4, 20, spread, 1_000);
    memory.record("other", 0.4, 500, spread, 1_000);
    expect({
        same: memory.computeDeniedMs("flood", 0.4, 1_005),
        less: memory.computeDeniedMs("flood", 0.1, 1_005),
        more: memory.computeDeniedMs("flood", 0.5, 1_005),
        later: memory.computeDeniedMs("flood", 0.4, 1_020),
        neighbour: memory.computeDeniedMs("small", 0.4, 1_005),
        atMost: memory.computeDeniedMs("other", 0.4, 1_000),
    }).toMatchInlineSnapshot(`
      {
        "atMost": 30,
        "later": 0,
        "less": 15,
        "more": 0,
        "neighbour": 0,
        "same": 15,
      }
    `);
});

// Remembered for as long everywhere, an account at one router would ask owners a fraction of what one at all of them asks.
it("holds a denial for as long as the account reaches routers, and for the longest time at a busy router", () => {
    const memory = new DenialCache();
    memory.record("one", 0.4, 500, { ...spread, accountFraction: 1 }, 1_000);
    memory.record("some", 0.4, 500, { ...spread, accountFraction: 0.2 }, 1_000);
    memory.record("busy", 0.4, 500, { ...spread, accountFraction: 1, utilization: 0.9 }, 1_000);
    const held = ["one", "some", "busy"].map(account => Math.round(memory.computeDeniedMs(account, 0.4, 1_000)));
    expect(held).toEqual([6, 30, 30]);
});
