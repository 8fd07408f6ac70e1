/** Without a short request for this long the reserve lapses; milliseconds. */
export const shortReserveExpiryMs = 5_000;
/** Largest share of the window that is kept from long work. */
export const maxReserveShare = 0.25;

const smoothing = 0.1;

/**
 * Keeps a few of a target's slots from long work.
 *
 * Load pattern: long among short. Some route rebuilds of a minute each fill every slot, and a question that takes a
 * second waits for a minute. The reserve is the number of slots that short work keeps busy (Little's law: arrivals per
 * time, times the time each takes), at least one, but never more than a quarter of the window: a window of less than four
 * slots has none, so that a cold target's few slots are not held back.
 *
 * It is the one exception to work conservation: a reserved slot may stand free while only long work waits. It lapses
 * five seconds after the last short request, so without short traffic nothing is held back.
 */
export class ShortReserve {
    private lastSeenAtMs: number | undefined;
    private gapMs: number | undefined;
    private durationMs: number | undefined;

    /** A short request arrived. */
    public observeArrival(nowMs: number): void {
        if (this.lastSeenAtMs !== undefined) {
            const gapMs = Math.min(shortReserveExpiryMs, nowMs - this.lastSeenAtMs);
            this.gapMs = this.gapMs === undefined ? gapMs : this.gapMs + smoothing * (gapMs - this.gapMs);
        }
        this.lastSeenAtMs = nowMs;
    }

    /** A short request ended after running for `durationMs`. */
    public observeDuration(durationMs: number): void {
        this.durationMs =
            this.durationMs === undefined ? durationMs : this.durationMs + smoothing * (durationMs - this.durationMs);
    }

    /** When the reserve lapses if no short request comes; undefined when there is none. */
    public getExpiryAtMs(nowMs: number): number | undefined {
        return this.isActive(nowMs) && this.lastSeenAtMs !== undefined
            ? this.lastSeenAtMs + shortReserveExpiryMs
            : undefined;
    }

    /** Slots of the window that long work may not take now. */
    public getReservedSlots(window: number, nowMs: number): number {
        if (!this.isActive(nowMs)) {
            return 0;
        }
        const busy = Math.ceil((this.durationMs ?? 0) / Math.max(1, this.gapMs ?? shortReserveExpiryMs));
        return Math.min(Math.floor(window * maxReserveShare), Math.max(1, busy));
    }

    private isActive(nowMs: number): boolean {
        return this.lastSeenAtMs !== undefined && nowMs - this.lastSeenAtMs < shortReserveExpiryMs;
    }
}
