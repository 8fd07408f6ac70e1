import type { Instant } from "./keyTiming.js";

/**
 * Wall-clock time that never falls and never runs slower than the monotonic clock.
 * An administrator or NTP may set a clock back. Without this, a key that had expired would be fresh again after its
 * table entry was dropped, and would run twice. Running ahead is harmless: keys only look older, which is `unknown`.
 */
export class SteadyWallClock {
    private last: Instant | undefined;

    /** The steady reading at an instant. */
    public read(at: Instant): number {
        const floor = this.last === undefined ? at.wallMs : this.last.wallMs + Math.max(0, at.nowMs - this.last.nowMs);
        this.last = { nowMs: at.nowMs, wallMs: Math.max(at.wallMs, floor) };
        return this.last.wallMs;
    }
}
