import { expect, it } from "vitest";
import { InputBudget } from "../../../src/decisions/limits/inputBudget.js";

// Load: many clients hold a little each, and some hold much.
it("the connection that holds most is closed first, and none while the budget is kept", () => {
    const budget = new InputBudget<string>(() => 100);
    budget.setBytes("a", 60);
    budget.setBytes("b", 40);
    expect(budget.findConnectionToClose()).toBe(undefined);
    budget.setBytes("c", 1);
    expect(budget.findConnectionToClose()).toBe("a");
    budget.setBytes("a", 0);
    expect({ found: budget.findConnectionToClose(), bytes: budget.bytes, size: budget.size }).toMatchInlineSnapshot(`
      {
        "bytes": 41,
        "found": undefined,
        "size": 2,
      }
    `);
});
