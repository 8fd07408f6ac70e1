import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EngineBudget, type EngineRate, type PrefillRequest } from "../../../src/decisions/admission/engineBudget.js";

const rate: EngineRate = { tokensPerMs: 50, slots: 4, readingShare: 0.5 };
const spanMs = 400;
const limitTokens = rate.tokensPerMs * spanMs * rate.readingShare;

function createRequest(id: string, changes: Partial<PrefillRequest> = {}): PrefillRequest {
    return { id, tokens: 4_000, maxQueuedTokens: 20_000, maxUsage: 1, windowMs: spanMs, ...changes };
}

describe("an engine's budget", () => {
    it("says when a request like the one it turns away could be granted", () => {
        const budget = new EngineBudget();
        const decisions = [
            budget.check(createRequest("a", { tokens: 9_000 }), rate, 0),
            budget.check(createRequest("b"), rate, 100),
            budget.check(createRequest("wait", { maxUsage: 2, maxQueuedTokens: 1_000 }), rate, 100),
            budget.check(createRequest("c"), rate, 400),
        ];
        expect(decisions.map(({ granted, retryAfterMs }) => [granted, retryAfterMs])).toMatchInlineSnapshot(`
          [
            [
              true,
              0,
            ],
            [
              false,
              300,
            ],
            [
              false,
              60,
            ],
            [
              true,
              0,
            ],
          ]
        `);
    });

    // A datagram that arrives twice would otherwise use the engine up for a request that runs once.
    it("books a request once however often it is asked for", () => {
        const budget = new EngineBudget();
        const uses = [0, 10, 20].map(nowMs => budget.check(createRequest("a"), rate, nowMs).usage);
        expect(uses).toEqual([uses[0], uses[0], uses[0]]);
    });

    it("takes back what was not run, and counts what runs until it ends", () => {
        const budget = new EngineBudget();
        budget.check(createRequest("a", { tokens: 10_000 }), rate, 0);
        budget.recordEnd("a", false);
        const afterReturn = budget.check(createRequest("b"), rate, 1);
        budget.recordStart("b");
        const waiting = budget.countQueuedTokens(rate, 2);
        const running = budget.countRunning(2);
        budget.recordEnd("b", true);
        expect([afterReturn.granted, waiting, running, budget.countRunning(3)]).toEqual([true, 0, 1, 0]);
    });

    it("grants no more than the engine has slots", () => {
        const budget = new EngineBudget();
        const granted = [0, 1, 2, 3, 4].map(
            index => budget.check(createRequest(`r${index}`, { tokens: 10 }), rate, index).granted,
        );
        expect(granted).toEqual([true, true, true, true, false]);
    });

    // Streams at the engine stand still while it reads: whatever is asked for, what it is given in any span stays below the
    // limit and one prompt.
    it("never gives more in a span than its limit and the last prompt", () => {
        const asks = fc.array(
            fc.record({ gapMs: fc.integer({ min: 0, max: 150 }), tokens: fc.integer({ min: 1, max: 8_000 }) }),
            { maxLength: 60 },
        );
        fc.assert(
            fc.property(asks, list => {
                const budget = new EngineBudget();
                const granted: { readonly atMs: number; readonly tokens: number }[] = [];
                let nowMs = 0;
                for (const [index, { gapMs, tokens }] of list.entries()) {
                    nowMs += gapMs;
                    if (budget.check(createRequest(`r${index}`, { tokens }), { ...rate, slots: 100 }, nowMs).granted) {
                        granted.push({ atMs: nowMs, tokens });
                    }
                    const inSpan = granted.filter(({ atMs }) => nowMs - atMs < spanMs);
                    const before = inSpan.slice(0, -1).reduce((sum, grant) => sum + grant.tokens, 0);
                    expect(before).toBeLessThanOrEqual(limitTokens);
                }
            }),
            { seed: 3, numRuns: 200 },
        );
    });
});
