import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { LogFields, Logger } from "../../src/base/log.js";
import { AccountStatistics } from "../../src/gateway/accountStatistics.js";
import { AccountSummary } from "../../src/gateway/accountSummary.js";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

describe("the summary of accounts with refused requests", () => {
    // Lines of single requests are limited to a rate, and an account with few callers may have none among them.
    it("names the most refused of the last second, and is left out where nothing was refused", () => {
        const lines: (LogFields | undefined)[] = [];
        const figures = new AccountStatistics();
        const logger: Logger = { write: (...[, , fields]) => void lines.push(fields) };
        const summary = new AccountSummary(logger, () =>
            figures.listAll().map(([account, counts]) => ({
                account,
                counts,
                computeUsage: () => ({ share: 0.256, surplus: 1.5, sumsAgeMs: 0 }),
            })),
        );
        for (let index = 0; index < 7; index++) {
            for (let refused = 0; refused <= index; refused++) {
                const request = figures.createRequest(`a${index}`, 100);
                request.record("read");
                request.recordEnd({ outcome: "refused", reason: refused === 0 ? "busy" : "over-share" });
            }
        }
        const served = figures.createRequest("a6", 100);
        served.record("read");
        served.record("granted");
        served.record("begun");
        vi.advanceTimersByTime(3_000);
        summary.dispose();
        expect(lines).toMatchInlineSnapshot(`
          [
            {
              "accounts": "a6 read=8 shed=1 refused=6 granted=1 begun=1 askedTokens=800 begunTokens=100 share=0.26 surplus=1.50; a5 read=6 shed=1 refused=5 granted=0 begun=0 askedTokens=600 begunTokens=0 share=0.26 surplus=1.50; a4 read=5 shed=1 refused=4 granted=0 begun=0 askedTokens=500 begunTokens=0 share=0.26 surplus=1.50; a3 read=4 shed=1 refused=3 granted=0 begun=0 askedTokens=400 begunTokens=0 share=0.26 surplus=1.50; a2 read=3 shed=1 refused=2 granted=0 begun=0 askedTokens=300 begunTokens=0 share=0.26 surplus=1.50",
              "others": 2,
            },
          ]
        `);
    });
});
