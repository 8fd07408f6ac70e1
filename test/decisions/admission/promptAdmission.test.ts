import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { AccountShares, computeFairLevel, zeroUsage } from "../../../src/decisions/shares/accountShares.js";
import { IdleShare } from "../../../src/decisions/shares/idleShare.js";
import { checkPromptAdmission } from "../../../src/decisions/admission/promptAdmission.js";

const tokensPerMs = 40;
const fixedMs = 50;
const promptTokens = 4_000;
const objectiveMs = 800;
const pauseObjectiveMs = 600;
const windowMs = 4_000;
const runMs = 20_000;

interface Load {
    readonly account: string;
    /** Requests a second. */
    readonly rate: number;
}

/** Plays accounts' requests against one engine that reads in order; returns the tokens each account got. */
function runLoad(loads: readonly Load[], tokensPerSecond: number): Record<string, { asked: number; got: number }> {
    const random = new SeededRandom(5);
    const shares = new AccountShares(windowMs);
    const results = Object.fromEntries(loads.map(load => [load.account, { asked: 0, got: 0 }]));
    const idle = new IdleShare();
    let waitingTokens = 0;
    for (let nowMs = 0; nowMs < runMs; nowMs++) {
        waitingTokens = Math.max(0, waitingTokens - tokensPerMs);
        for (const { account, rate } of loads) {
            if (random.next() >= rate / 1_000) {
                continue;
            }
            results[account].asked += promptTokens;
            shares.recordRequested(account, promptTokens, nowMs);
            const unloadedMs = fixedMs + promptTokens / tokensPerMs;
            const expectedMs = unloadedMs + waitingTokens / tokensPerMs;
            const shareUse = shares.computeUsage(account, [], tokensPerSecond, nowMs);
            idle.observe(waitingTokens === 0 ? 1 : 0, 1, nowMs);
            const view = {
                expectedMs,
                unloadedMs: unloadedMs,
                objectiveMs,
                pauseObjectiveMs,
                remainingMs: 6_000,
                shareUse,
                idleShare: idle.current,
            };
            if (checkPromptAdmission(view).admitted) {
                waitingTokens += promptTokens;
                results[account].got += promptTokens;
                shares.recordServed(account, promptTokens, nowMs);
            }
        }
    }
    return results;
}

describe("admission of prompts", () => {
    // Two accounts ask for more than their fair share, one of them for four times as much as the other. Both are refused
    // now and then; what the engine has left over went to the flooding one by a ratio of four, and the other account
    // saw each second a refusal while it got a quarter of what its neighbour got.
    it("levels out what accounts beyond their share get", () => {
        const results = runLoad(
            [
                { account: "flood", rate: 20 },
                { account: "large", rate: 5 },
                { account: "small", rate: 0.5 },
            ],
            16_000,
        );
        expect(results.large.got / Math.min(results.large.asked, results.flood.got)).toBeGreaterThan(0.5);
        expect(results.small.got).toBe(results.small.asked);
        expect(results.flood.got).toBeGreaterThan(results.large.got);
    });

    it("keeps the engine busy when only one account asks, beyond its share", () => {
        const { flood } = runLoad([{ account: "flood", rate: 30 }], 16_000);
        expect(flood.got / (tokensPerMs * runMs)).toBeGreaterThan(0.85);
    });

    it("takes a request that is late by its own length, and not one behind a queue", () => {
        const view = {
            unloadedMs: 900,
            objectiveMs: 800,
            pauseObjectiveMs: 1_000,
            remainingMs: 6_000,
            shareUse: zeroUsage,
            idleShare: 0,
        };
        const decide = (expectedMs: number): unknown => checkPromptAdmission({ ...view, expectedMs });
        expect([900, 1_150, 1_300].map(decide)).toMatchInlineSnapshot(`
          [
            {
              "admitted": true,
            },
            {
              "admitted": true,
            },
            {
              "admitted": false,
              "reason": "late",
              "retryAfterMs": 700,
            },
          ]
        `);
    });
});

describe("the fair level", () => {
    it("gives small accounts all, and large ones equal amounts", () => {
        expect(computeFairLevel([10, 100, 200], 150)).toBe(70);
        expect(computeFairLevel([10, 20], 150)).toBe(Number.POSITIVE_INFINITY);
        expect(computeFairLevel([], 150)).toBe(Number.POSITIVE_INFINITY);
    });
});
