import fc from "fast-check";
import { describe, it } from "vitest";
import { FakeFleet, type Step } from "./fakeFleet.js";

const pick = fc.nat({ max: 1_000 });
const agentIds = fc.constantFrom(["t1"], ["t1", "t2"], ["t1", "t2", "t3"]);
const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("submit" as const),
            pick,
            work: fc.constantFrom("idempotent" as const, "non-idempotent" as const, "keyed" as const),
        }),
    },
    { weight: 10, arbitrary: fc.record({ kind: fc.constantFrom("deliverToAgent", "deliverToRouter"), pick }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom("start", "finish"), pick }) },
    {
        weight: 5,
        arbitrary: fc.record({ kind: fc.constantFrom("repeatToRouter", "breakConnection", "refuse", "fail"), pick }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("report", "drain", "lose", "cancel"), pick }) },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("advance" as const), ms: fc.integer({ min: 1, max: 1_500 }) }),
    },
);

describe("RouterCore under faults", () => {
    it("gives each request one outcome and runs non-idempotent requests at most once, whatever the faults", () => {
        // Callers must see exactly one outcome per request. Offers, withdrawals and replies are lost with their
        // connection, repeated and reordered; agents drain, are lost and recover. A non-idempotent request must never be
        // assigned to two agents nor run twice, and "not-run" must be true, because the caller then retries.
        fc.assert(
            fc.property(fc.array(step, { maxLength: 200, size: "max" }), fc.nat(), agentIds, (steps, seed, ids) => {
                const fleet = new FakeFleet(seed, ids);
                steps.forEach(next => fleet.run(next));
                fleet.runToEnd();
            }),
            { seed: 20_261, numRuns: 500 },
        );
    });
});
