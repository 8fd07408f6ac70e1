import { describe, expect, it } from "vitest";
import { checkOrder, type OrderContext } from "../../../src/decisions/limits/orderPolicy.js";

describe("checkOrder", () => {
    const base: OrderContext = {
        ownOffset: 12,
        newestOffset: 12,
        checkedAtMs: 9_500,
        lastRanAtMs: 9_990,
        targetChecksFencing: false,
    };

    // The operators see: an old agent's order does not undo a new one's. The old agent was paused and wakes; a newer one
    // may have registered meanwhile.
    it("sends no order on a registration that may be old, unless the target itself checks the number", () => {
        const decide = (changes: Partial<OrderContext>): string => {
            const decision = checkOrder({ ...base, ...changes }, 10_000);
            return decision.decision === "send" ? `send with ${decision.fencing}` : decision.decision;
        };
        expect({
            checked: decide({}),
            paused: decide({ lastRanAtMs: 5_000 }),
            pausedButTargetChecks: decide({ lastRanAtMs: 5_000, targetChecksFencing: true }),
            checkedLongAgo: decide({ checkedAtMs: 7_000 }),
            newerAgent: decide({ newestOffset: 13, targetChecksFencing: true }),
            notRegistered: decide({ ownOffset: undefined }),
        }).toMatchInlineSnapshot(`
          {
            "checked": "send with 12",
            "checkedLongAgo": "check",
            "newerAgent": "refuse",
            "notRegistered": "refuse",
            "paused": "check",
            "pausedButTargetChecks": "send with 12",
          }
        `);
    });
});
