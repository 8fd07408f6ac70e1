import type { Instant } from "./keyTiming.js";

/**
 * Wall clock that never goes back and never advances more slowly than the monotonic clock.
 * An administrator or NTP may set the system clock back. An expired key whose table entry was removed would then be
 * valid again, and its request would run twice. A clock that is ahead is harmless: keys appear older than they are and
 * are refused with execution `unknown`.
 */
export class SteadyWallClock {
    private last: Instant | undefined;

    /** Returns the corrected wall-clock time at an instant, in milliseconds since 1970. */
    public read(at: Instant): number {
        const minWallMs =
            this.last === undefined ? at.wallMs : this.last.wallMs + Math.max(0, at.nowMs - this.last.nowMs);
        this.last = { nowMs: at.nowMs, wallMs: Math.max(at.wallMs, minWallMs) };
        return this.last.wallMs;
    }
}
