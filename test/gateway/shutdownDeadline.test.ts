import { expect, it } from "vitest";
import { ManualClock } from "../../src/base/clock.js";
import { ShutdownDeadline } from "../../src/gateway/shutdownDeadline.js";

const remainingMs = 5_000;

/** Whether requests with these usual durations can complete, at the start of the stop and later; milliseconds. */
function describeRoute(durations: readonly number[], deadlineMs: number, isRepeatable: boolean): string {
    const clock = new ManualClock();
    const shutdown = new ShutdownDeadline(clock);
    for (const ms of durations) {
        shutdown.observeDuration("r", ms);
    }
    const canComplete = (): boolean => shutdown.canComplete("r", clock.nowMs() + deadlineMs, isRepeatable);
    const outcomes = [canComplete()];
    shutdown.start(remainingMs);
    for (const ms of [0, 2_000, 2_500]) {
        clock.advance(ms);
        outcomes.push(canComplete());
    }
    return outcomes.join(" ");
}

// A request that can't end before the router stops would be cut off although it may not be repeated.
it("a request is sent only if it is expected to end before the router stops", () => {
    const usual = Array.from({ length: 50 }, () => 1_000);
    expect({
        "short deadline": describeRoute([], 400, false),
        "unknown duration, not repeatable": describeRoute([], 12_000, false),
        "unknown duration, repeatable": describeRoute([], 12_000, true),
        "durations of 1 s": describeRoute(usual, 12_000, false),
        "durations of 7 s": describeRoute([7_000], 12_000, true),
        "one in ten of 7 s": describeRoute([...usual, ...Array.from({ length: 5 }, () => 7_000)], 12_000, false),
    }).toMatchInlineSnapshot(`
      {
        "durations of 1 s": "true true true false",
        "durations of 7 s": "true false false false",
        "one in ten of 7 s": "true true true false",
        "short deadline": "true true true true",
        "unknown duration, not repeatable": "true false false false",
        "unknown duration, repeatable": "true true true true",
      }
    `);
});
