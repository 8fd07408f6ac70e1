import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { AbortScope, CancellationTokenSource } from "../../src/base/cancellation.js";

const timeoutMs = 100;
/** What runs once sockets have been read. */
const check: { pending: (() => void) | undefined } = { pending: undefined };

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] });
    vi.stubGlobal("setImmediate", (action: () => void) => (check.pending = action));
    vi.stubGlobal("clearImmediate", () => (check.pending = undefined));
});

afterEach(() => {
    vi.unstubAllGlobals();
    vi.useRealTimers();
});

describe("the scope of a call", () => {
    it("aborts once the time is over", () => {
        const scope = new AbortScope(new CancellationTokenSource().token, timeoutMs);
        vi.advanceTimersByTime(timeoutMs);
        check.pending?.();
        expect(scope.signal.aborted).toBe(true);
    });

    // The event loop stalls, and the answer waits in the socket: taken for missing, each stall would count as a lost store.
    it("is left alone where the answer is read right behind the timer", () => {
        const scope = new AbortScope(new CancellationTokenSource().token, timeoutMs);
        vi.advanceTimersByTime(timeoutMs);
        scope.dispose();
        check.pending?.();
        expect(scope.signal.aborted).toBe(false);
    });
});
