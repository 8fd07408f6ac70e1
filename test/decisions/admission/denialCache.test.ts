import { expect, it } from "vitest";
import { DenialCache } from "../../../src/decisions/admission/denialCache.js";

/** An idle router in a fleet of ten, with an account that connects to all of them. */
const spread = { utilization: 0.1, accountFraction: 0.1, routerCount: 10 };

it("caches a denial for the denied account, up to the same usage limit, until an engine has capacity", () => {
    const cache = new DenialCache();
    cache.record("heavy", 0.4, 20, spread, 1_000);
    cache.record("other", 0.4, 500, spread, 1_000);
    expect({
        sameUsage: cache.computeDeniedMs("heavy", 0.4, 1_005),
        lowerUsage: cache.computeDeniedMs("heavy", 0.1, 1_005),
        higherUsage: cache.computeDeniedMs("heavy", 0.5, 1_005),
        afterExpiry: cache.computeDeniedMs("heavy", 0.4, 1_020),
        otherAccount: cache.computeDeniedMs("small", 0.4, 1_005),
        maximum: cache.computeDeniedMs("other", 0.4, 1_000),
    }).toMatchInlineSnapshot(`
      {
        "afterExpiry": 0,
        "higherUsage": 0,
        "lowerUsage": 15,
        "maximum": 30,
        "otherAccount": 0,
        "sameUsage": 15,
      }
    `);
});

// With the same time at all routers, an account at one router would cause a fraction of the grant requests of one at all routers.
it("caches a denial in proportion to the routers that the account connects to, and for the maximum time at a busy router", () => {
    const cache = new DenialCache();
    cache.record("one", 0.4, 500, { ...spread, accountFraction: 1 }, 1_000);
    cache.record("some", 0.4, 500, { ...spread, accountFraction: 0.2 }, 1_000);
    cache.record("busy", 0.4, 500, { ...spread, accountFraction: 1, utilization: 0.9 }, 1_000);
    const deniedMs = ["one", "some", "busy"].map(account => Math.round(cache.computeDeniedMs(account, 0.4, 1_000)));
    expect(deniedMs).toEqual([6, 30, 30]);
});
