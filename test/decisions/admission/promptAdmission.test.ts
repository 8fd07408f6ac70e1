import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { AccountShares, computeFairLevel, zeroUsage } from "../../../src/decisions/shares/accountShares.js";
import { IdleShare } from "../../../src/decisions/shares/idleShare.js";
import { checkPromptAdmission, computeSpreadRetryMs } from "../../../src/decisions/admission/promptAdmission.js";

const tokensPerMs = 40;
const fixedMs = 50;
const promptTokens = 4_000;
const objectiveMs = 800;
const pauseObjectiveMs = 600;
const windowMs = 4_000;
const runMs = 20_000;

interface Load {
    readonly account: string;
    /** Requests per second. */
    readonly rate: number;
}

/** Simulates the accounts' requests to one engine with a FIFO prefill queue; returns the tokens requested by and served to each account. */
function runLoad(loads: readonly Load[], tokensPerSecond: number): Record<string, { asked: number; served: number }> {
    const random = new SeededRandom(5);
    const shares = new AccountShares(windowMs);
    const results = Object.fromEntries(loads.map(load => [load.account, { asked: 0, served: 0 }]));
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
                unloadedMs,
                objectiveMs,
                pauseObjectiveMs,
                remainingMs: 6_000,
                shareUse,
                idleShare: idle.current,
            };
            if (checkPromptAdmission(view).admitted) {
                waitingTokens += promptTokens;
                results[account].served += promptTokens;
                shares.recordServed(account, promptTokens, nowMs);
            }
        }
    }
    return results;
}

describe("admission of prompts", () => {
    // Two accounts request more than their fair share, one of them four times as much as the other. If both are refused at random, the
    // engine's surplus is served at a ratio of four, so that the other account has a refusal every second and is served a quarter of
    // the tokens.
    it("distributes the surplus evenly among accounts beyond their share", () => {
        const results = runLoad(
            [
                { account: "heavy", rate: 20 },
                { account: "large", rate: 5 },
                { account: "small", rate: 0.5 },
            ],
            16_000,
        );
        expect(results.large.served / Math.min(results.large.asked, results.heavy.served)).toBeGreaterThan(0.5);
        expect(results.small.served).toBe(results.small.asked);
        expect(results.heavy.served).toBeGreaterThan(results.large.served);
    });

    it("keeps the engine busy when a single account sends requests, beyond its share", () => {
        const { heavy } = runLoad([{ account: "heavy", rate: 30 }], 16_000);
        expect(heavy.served / (tokensPerMs * runMs)).toBeGreaterThan(0.85);
    });

    it("admits a request that is late by its own prefill, but not one that is late by a queue", () => {
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

// Callers that are refused together would otherwise return together.
it("spreads the returns of requests beyond their deadline over a quarter of the objective", () => {
    expect([0, 0.5, 1].map(random => computeSpreadRetryMs(objectiveMs, random))).toEqual([80, 180, 280]);
});

describe("the fair level", () => {
    it("serves small accounts completely, and large ones equal amounts", () => {
        expect(computeFairLevel([10, 100, 200], 150)).toBe(70);
        expect(computeFairLevel([10, 20], 150)).toBe(Number.POSITIVE_INFINITY);
        expect(computeFairLevel([], 150)).toBe(Number.POSITIVE_INFINITY);
    });
});
