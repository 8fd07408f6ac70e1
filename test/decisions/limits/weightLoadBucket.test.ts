import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { WeightLoadBucket } from "../../../src/decisions/limits/weightLoadBucket.js";

describe("WeightLoadBucket", () => {
    // Guards against an overload of the weight store. A data centre with 30 targets recovers, and all of them request
    // weights at once and retry as soon as they may; the fleet's loads have to stay within the store's rate.
    it("limits a fleet that starts at once to the store's rate", () => {
        const agents = [...Array(30).keys()].map(index => ({
            bucket: new WeightLoadBucket(index / 30, new SeededRandom(index)),
            nextAttemptAtMs: 0,
            done: false,
        }));
        const perMinute = Array.from({ length: 6 }, () => 0);
        for (let nowMs = 0; nowMs < 360_000; nowMs += 100) {
            for (const agent of agents.filter(entry => !entry.done && entry.nextAttemptAtMs <= nowMs)) {
                const decision = agent.bucket.take(6, 30, nowMs);
                agent.done = decision.allowed;
                agent.nextAttemptAtMs = decision.allowed ? 0 : nowMs + decision.retryAfterMs;
                perMinute[Math.floor(nowMs / 60_000)] =
                    (perMinute[Math.floor(nowMs / 60_000)] ?? 0) + (decision.allowed ? 1 : 0);
            }
        }
        expect(perMinute).toMatchInlineSnapshot(`
          [
            5,
            6,
            6,
            6,
            4,
            3,
          ]
        `);
    });
});
