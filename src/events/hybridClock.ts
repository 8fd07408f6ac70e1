import type { Clock } from "../base/clock.js";
import type { HybridTime } from "./fleetEvent.js";

/** How far a peer's clock may run ahead before its readings are left out; milliseconds. */
export const maxClockAheadMs = 60_000;

/** Orders two readings; negative when `a` comes first. */
export function compareHybridTimes(a: HybridTime, b: HybridTime): number {
    return a.wallMs - b.wallMs || a.counter - b.counter;
}

/**
 * A hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014): its readings follow causal order between
 * processes that pass them on in messages, and stay close to wall-clock time.
 */
export class HybridClock {
    private last: HybridTime = { wallMs: 0, counter: 0 };

    public constructor(private readonly clock: Clock) {}

    /** The reading of a local event or of a message about to be sent; larger than every earlier one. */
    public now(): HybridTime {
        return this.take(this.clock.nowDate().getTime());
    }

    /**
     * Takes in the reading that came with a message, so that whatever is recorded here from now on is ordered after it.
     * Returns false when the reading was left out.
     */
    public merge(remote: HybridTime): boolean {
        // One VM whose clock is set an hour ahead would drag every process along with it, for as long as they run, and
        // the time line's dates would be of no use. Left out, only that VM's own events are out of order.
        if (remote.wallMs > this.clock.nowDate().getTime() + maxClockAheadMs) {
            return false;
        }
        if (compareHybridTimes(remote, this.last) > 0) {
            this.last = remote;
        }
        return true;
    }

    private take(wallMs: number): HybridTime {
        this.last =
            wallMs > this.last.wallMs
                ? { wallMs, counter: 0 }
                : { wallMs: this.last.wallMs, counter: this.last.counter + 1 };
        return this.last;
    }
}
