import { expect, it } from "vitest";
import { refusalSchema } from "../../src/control/schemas.js";
import { createProblemHeaders, toProblem } from "../../src/router/problem.js";

const reasons = refusalSchema.shape.reason.options;

// A caller that is turned away for a passing reason and not told when to come back asks again at once; in an outage all
// of them do, and the fleet drowns in repeats when it comes back.
it("says when to come back with every 429 and 503", () => {
    const seen = reasons.map(reason => {
        const problem = toProblem({ reason, execution: "unknown", retryAfterMs: undefined, detail: "" });
        return `${reason} ${problem.status} ${createProblemHeaders(problem, "id")["retry-after"] ?? "-"}`;
    });
    expect(seen).toMatchInlineSnapshot(`
      [
        "queue-full 503 2",
        "account-queue-full 429 2",
        "deadline 503 2",
        "no-target 503 2",
        "draining 503 2",
        "duplicate 409 -",
        "key-unknown 409 -",
        "key-required 400 -",
        "retry-budget 503 2",
        "target-failed 502 -",
        "stopping 503 2",
      ]
    `);
});
