import { expect, it } from "vitest";
import { DenialMemory } from "../../../src/decisions/admission/denialMemory.js";

it("holds a denial for the account that was denied, for as little of the limit, until an engine has room", () => {
    const memory = new DenialMemory();
    memory.record("flood", 0.4, 20, 0.9, 1_000);
    memory.record("other", 0.4, 500, 0.9, 1_000);
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

// An account at one router would ask owners a fraction of what an account at all of them asks.
it("holds no denial while the router has processor time to ask for each request", () => {
    const memory = new DenialMemory();
    memory.record("idle", 0.4, 500, 0.3, 1_000);
    memory.record("half", 0.4, 500, 0.7, 1_000);
    expect([memory.computeDeniedMs("idle", 0.4, 1_000), memory.computeDeniedMs("half", 0.4, 1_000)]).toEqual([
        0,
        expect.closeTo(15),
    ]);
});
