import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { computeBackoffMs } from "../../../src/decisions/retries/backoff.js";
import { RetryBudget } from "../../../src/decisions/retries/retryBudget.js";
import { canRetry } from "../../../src/decisions/retries/retryPolicy.js";

describe("RetryBudget", () => {
    it("keeps an outage from becoming a retry storm, and one account from using up the others' retries", () => {
        // Everything of one account fails at once. Its retries end at a tenth of its first tries; the other's go on.
        const budget = new RetryBudget();
        for (let index = 0; index < 1_000; index++) {
            budget.recordFirstAttempt(index % 2 === 0 ? "failing" : "calm", 5_000);
        }
        const take = (account: string, atMs: number): number =>
            Array.from({ length: 500 }).filter(() => budget.takeRetry(account, 0.1, atMs)).length;
        expect([take("failing", 5_500), take("calm", 5_500), take("failing", 14_500)]).toEqual([50, 50, 0]);
        // Ten seconds later nothing counts any more but the floor for a quiet account.
        expect([take("failing", 30_000), take("calm", 30_000)]).toEqual([3, 3]);
    });
});

describe("computeBackoffMs", () => {
    it("spreads retries over a span that doubles up to two seconds", () => {
        const random = new SeededRandom(1);
        const spans = [1, 2, 4, 12].map(retry => {
            const delays = Array.from({ length: 1_000 }, () => computeBackoffMs(retry, random));
            return [Math.round(Math.min(...delays)), Math.round(Math.max(...delays))];
        });
        expect(spans).toMatchInlineSnapshot(`
          [
            [
              0,
              50,
            ],
            [
              0,
              100,
            ],
            [
              0,
              400,
            ],
            [
              0,
              1998,
            ],
          ]
        `);
    });
});

describe("canRetry", () => {
    it("allows only what does no harm twice or is known not to have run", () => {
        const rows = [true, false].flatMap(idempotent =>
            (["not-run", "unknown", "ran"] as const).map(execution => {
                const verdict = canRetry({ idempotent, execution, attempt: 1, boundToOwner: false });
                return `${idempotent ? "idempotent" : "once"} ${execution}: ${verdict}`;
            }),
        );
        expect(rows).toMatchInlineSnapshot(`
          [
            "idempotent not-run: true",
            "idempotent unknown: true",
            "idempotent ran: true",
            "once not-run: true",
            "once unknown: false",
            "once ran: false",
          ]
        `);
        const safe = { idempotent: true, execution: "not-run" } as const;
        expect(canRetry({ ...safe, attempt: 1, boundToOwner: true })).toBe(false);
        expect(canRetry({ ...safe, attempt: 4, boundToOwner: false })).toBe(false);
    });
});

describe("a retry budget over a window of its own", () => {
    // A deployment compares retries over four seconds. With ten, first tries that lie long back would pay for a storm of
    // repeats now.
    it("forgets first tries that are older than the window", () => {
        const budget = new RetryBudget({ perAccount: 0, perRouter: 0 }, 4_000);
        for (let index = 0; index < 10; index++) {
            budget.recordFirstAttempt("north", 0);
        }
        expect([budget.takeRetry("north", 0.2, 3_000), budget.takeRetry("north", 0.2, 5_000)]).toEqual([true, false]);
    });
});
