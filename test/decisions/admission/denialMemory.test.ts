import { expect, it } from "vitest";
import { DenialMemory } from "../../../src/decisions/admission/denialMemory.js";

it("holds a denial for the account that was denied, for as little of the limit, until an engine has room", () => {
    const memory = new DenialMemory();
    memory.record("flood", 0.4, 20, 1_000);
    memory.record("other", 0.4, 500, 1_000);
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
