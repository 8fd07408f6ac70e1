import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { computeBackoffMs } from "../../../src/decisions/retries/backoff.js";
import { RetryBudget } from "../../../src/decisions/retries/retryBudget.js";
import { canRetry } from "../../../src/decisions/retries/retryPolicy.js";

describe("RetryBudget", () => {
    it("keeps an outage from becoming a retry storm, and one account from using up the others' retries", () => {
        // All requests of one account fail at once. Its retries end at a tenth of its first attempts; the other
        // account's continue.
        const budget = new RetryBudget();
        for (let index = 0; index < 1_000; index++) {
            budget.recordFirstAttempt(index % 2 === 0 ? "failing" : "steady", 5_000);
        }
        const take = (account: string, atMs: number): number =>
            Array.from({ length: 500 }).filter(() => budget.takeRetry(account, 0.1, atMs)).length;
        expect([take("failing", 5_500), take("steady", 5_500), take("failing", 14_500)]).toEqual([50, 50, 0]);
        // Ten seconds later only the floor for an account with little traffic applies.
        expect([take("failing", 30_000), take("steady", 30_000)]).toEqual([3, 3]);
    });
});

describe("computeBackoffMs", () => {
    it("spreads retries over an interval that doubles up to two seconds", () => {
        const random = new SeededRandom(1);
        const intervals = [1, 2, 4, 12].map(retry => {
            const delays = Array.from({ length: 1_000 }, () => computeBackoffMs(retry, random));
            return [Math.round(Math.min(...delays)), Math.round(Math.max(...delays))];
        });
        expect(intervals).toMatchInlineSnapshot(`
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
    it("allows only requests that are idempotent or reported as not executed", () => {
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

describe("a retry budget with a configured window", () => {
    // A deployment counts retries over four seconds. With ten, first attempts from long ago would permit a burst of
    // retries now.
    it("ignores first attempts that are older than the window", () => {
        const budget = new RetryBudget({ perAccount: 0, perRouter: 0 }, 4_000);
        for (let index = 0; index < 10; index++) {
            budget.recordFirstAttempt("north", 0);
        }
        expect([budget.takeRetry("north", 0.2, 3_000), budget.takeRetry("north", 0.2, 5_000)]).toEqual([true, false]);
    });
});
