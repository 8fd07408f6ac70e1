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
    // Log lines of single requests are rate limited, so an account with few callers may not appear in any of them.
    it("names the most refused accounts of the last second, and is skipped when nothing was refused", () => {
        const lines: (LogFields | undefined)[] = [];
        const statistics = new AccountStatistics();
        const logger: Logger = { write: (...[, , fields]) => void lines.push(fields) };
        const summary = new AccountSummary(logger, () =>
            statistics.listAll().map(([account, counts]) => ({
                account,
                counts,
                computeUsage: () => ({ share: 0.256, surplus: 1.5, sumsAgeMs: 149.6 }),
            })),
        );
        for (let index = 0; index < 7; index++) {
            for (let refused = 0; refused <= index; refused++) {
                const request = statistics.createRequest(`a${index}`, 100);
                request.record("read");
                request.recordEnd({ outcome: "refused", reason: refused === 0 ? "busy" : "over-share" });
            }
        }
        const served = statistics.createRequest("a6", 100);
        served.record("read");
        served.record("granted");
        served.record("begun");
        vi.advanceTimersByTime(3_000);
        summary.dispose();
        expect(lines).toMatchInlineSnapshot(`
          [
            {
              "accounts": "a6 read=8 shed=1 left=0 refused=6 silent=0 granted=1 begun=1 askedTokens=800 begunTokens=100 share=0.26 surplus=1.50; a5 read=6 shed=1 left=0 refused=5 silent=0 granted=0 begun=0 askedTokens=600 begunTokens=0 share=0.26 surplus=1.50; a4 read=5 shed=1 left=0 refused=4 silent=0 granted=0 begun=0 askedTokens=500 begunTokens=0 share=0.26 surplus=1.50; a3 read=4 shed=1 left=0 refused=3 silent=0 granted=0 begun=0 askedTokens=400 begunTokens=0 share=0.26 surplus=1.50; a2 read=3 shed=1 left=0 refused=2 silent=0 granted=0 begun=0 askedTokens=300 begunTokens=0 share=0.26 surplus=1.50",
              "others": 2,
              "sumsAgeMs": 150,
            },
          ]
        `);
    });
});
