import { describe, expect, it } from "vitest";
import { ConcurrencyWindow } from "../../../src/decisions/limits/concurrencyWindow.js";

function createWarmWindow(): ConcurrencyWindow {
    const window = new ConcurrencyWindow();
    window.setLimits({ maxConcurrent: 16, coldLimit: 2 }, 0);
    window.observeReport(false, 2_000);
    window.observeReport(false, 3_000);
    return window;
}

const sendOutputs = (window: ConcurrencyWindow, count: number, delayMs: number, fromMs: number): readonly string[] =>
    [...Array(count).keys()].map(index => {
        const output = { workClass: "short" as const, promptTokens: 100, delayMs, running: window.limit };
        const change = window.observeFirstOutput(output, fromMs + index * 500);
        return `${change ?? "-"} ${window.limit}`;
    });

describe("ConcurrencyWindow", () => {
    it("grows by one for each first output of a warm target, up to its maximum", () => {
        expect(sendOutputs(createWarmWindow(), 16, 100, 4_000).join(", ")).toMatchInlineSnapshot(
            `"grown 3, grown 4, grown 5, grown 6, grown 7, grown 8, grown 9, grown 10, grown 11, grown 12, grown 13, grown 14, grown 15, grown 16, - 16, - 16"`,
        );
    });

    // Guards against failures when a target turns cold without notice: its report still says warm, but its first output
    // is ten times late. Reports from shortly before must not end the cold start.
    it("falls to the cold limit on a late first output, and stays there until fresh reports say warm", () => {
        const window = createWarmWindow();
        sendOutputs(window, 16, 300, 4_000);
        const late = sendOutputs(window, 1, 4_000, 20_000);
        const stale = [21_000, 21_500].map(atMs => window.observeReport(false, atMs) ?? "-");
        const fresh = [22_000, 23_000].map(atMs => window.observeReport(false, atMs) ?? "-");
        expect({ late, stale, fresh, after: window.limit }).toMatchInlineSnapshot(`
          {
            "after": 2,
            "fresh": [
              "-",
              "warm",
            ],
            "late": [
              "cold 2",
            ],
            "stale": [
              "-",
              "-",
            ],
          }
        `);
    });

    // Guards against a target that falls back to its cold limit repeatedly although it is only busy: its first outputs
    // are late at full load, while its reports never say cold.
    it("raises the baseline after false alarms", () => {
        const window = createWarmWindow();
        sendOutputs(window, 16, 300, 4_000);
        const coldChanges: string[] = [];
        for (let nowMs = 20_000; nowMs < 80_000; nowMs += 1_000) {
            const [change = ""] = sendOutputs(window, 1, 4_000, nowMs);
            window.observeReport(false, nowMs);
            if (change.startsWith("cold")) {
                coldChanges.push(`${nowMs}`);
            }
        }
        expect(coldChanges).toMatchInlineSnapshot(`
          [
            "20000",
          ]
        `);
    });

    // Guards against a growing queue at a slow target whose first outputs take five times as long as usual.
    it("shrinks by a fifth, once a second, while first outputs are slow", () => {
        const window = createWarmWindow();
        sendOutputs(window, 30, 300, 4_000);
        expect(sendOutputs(window, 8, 1_600, 30_000).join(", ")).toMatchInlineSnapshot(
            `"- 16, - 16, slowed 12, - 12, slowed 9, - 9, slowed 7, - 7"`,
        );
    });

    it("warms up by completed requests when the target reports nothing", () => {
        const window = new ConcurrencyWindow();
        window.setLimits({ maxConcurrent: 16, coldLimit: 2 }, 0);
        expect(Array.from({ length: 5 }, () => window.observeSuccess(100) ?? "-").join(" ")).toMatchInlineSnapshot(
            `"- - - warm -"`,
        );
    });
});
