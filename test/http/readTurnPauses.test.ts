import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { ManualClock } from "../../src/base/clock.js";
import { ReadTurns } from "../../src/http/readTurns.js";

const turnMs = 5;
const turnCount = 60;

beforeEach(() => void vi.useFakeTimers({ toFake: ["setTimeout", "setImmediate"] }));
afterEach(() => void vi.useRealTimers());

/** Pause before the last of many turns, while other work takes a share of the event loop; milliseconds. */
function measureLastPause(otherShare: number): number {
    const clock = new ManualClock();
    let turnTimeMs = 0;
    const turns = new ReadTurns(clock, 0, () => turnTimeMs + (clock.nowMs() - turnTimeMs) * otherShare);
    const startedAtMs: number[] = [];
    const resume = (): void => {
        startedAtMs.push(clock.nowMs());
        clock.advance(turnMs);
        turnTimeMs += turnMs;
        turns.add(resume);
    };
    turns.add(resume);
    while (startedAtMs.length < turnCount) {
        clock.advance(1);
        vi.advanceTimersByTime(1);
    }
    const [previous, last] = startedAtMs.slice(-2);
    return last - previous - turnMs;
}

// Guards against one client that takes more of the event loop than all others together.
it("turns pause for as long as they take while others have work, and shortly while there is none", () => {
    expect([0, 0.1, 0.2, 0.9].map(measureLastPause)).toMatchInlineSnapshot(`
      [
        1,
        2,
        5,
        5,
      ]
    `);
});
