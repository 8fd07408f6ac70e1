import { describe, expect, it } from "vitest";
import { IdleShare } from "../../../src/decisions/shares/idleShare.js";

describe("the share of idle engines", () => {
    // An engine under constant demand is idle for a moment between two prompts; a single sample must not make it appear
    // free.
    it("follows a lasting change within seconds and is not dominated by a single sample", () => {
        const share = new IdleShare();
        const shares: number[] = [];
        const observe = (idle: number, fromMs: number, toMs: number): void => {
            for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
                share.observe(idle, 8, nowMs);
            }
            shares.push(Number(share.current.toFixed(1)));
        };
        observe(0, 0, 1_000);
        observe(8, 1_000, 1_050);
        observe(8, 1_050, 5_000);
        observe(0, 5_000, 9_000);
        expect(shares).toEqual([0, 0, 1, 0]);
    });
});
