import { describe, expect, it } from "vitest";
import { CostEstimator } from "../../../src/decisions/shares/costEstimate.js";

describe("CostEstimator", () => {
    it("learns per account that requests use less than a generous limit", () => {
        const estimator = new CostEstimator();
        const hint = {
            clientAccount: "club",
            service: "planner",
            kind: "model" as const,
            promptTokens: 100,
            maxTokens: 4_000,
        };
        const before = estimator.estimate(hint, 4_000);
        for (let index = 0; index < 40; index += 1) {
            estimator.observe(hint, before.hintClass, 40 + (index % 5) * 10);
        }
        const after = estimator.estimate(hint, 4_000);
        const rounded = { ...after, cost: Math.round(after.cost), charge: Math.round(after.charge) };
        const newcomer = estimator.estimate({ ...hint, clientAccount: "other", maxTokens: 10 }, 4_000);
        expect({ before, after: rounded, newcomer }).toMatchInlineSnapshot(`
          {
            "after": {
              "charge": 420,
              "cost": 343,
              "hintClass": "long",
              "workClass": "short",
            },
            "before": {
              "charge": 16100,
              "cost": 16100,
              "hintClass": "long",
              "workClass": "long",
            },
            "newcomer": {
              "charge": 140,
              "cost": 140,
              "hintClass": "short",
              "workClass": "short",
            },
          }
        `);
    });
});
