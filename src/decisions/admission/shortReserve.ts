/** Time after the last short request at which the reserve expires; milliseconds. */
export const shortReserveExpiryMs = 5_000;
/** Maximum fraction of the window that is reserved for short requests. */
export const maxReserveShare = 0.25;

const smoothing = 0.1;

/**
 * Reserves a few of a target's slots for short requests.
 *
 * Load pattern: long requests mixed with short ones. A few requests of a minute each (route rebuilds) fill every slot, and a
 * request that takes a second waits for a minute. The reserve is the number of slots that short requests keep busy (Little's law:
 * arrival rate times duration), at least one, but never more than a quarter of the window: a window of less than four
 * slots has no reserve, so that all of a cold target's few slots stay usable.
 *
 * This is the only exception to work conservation: a reserved slot may be free while only long requests wait. The reserve expires
 * five seconds after the last short request, so that without short requests no slot is reserved.
 */
export class ShortReserve {
    private lastSeenAtMs: number | undefined;
    private intervalMs: number | undefined;
    private durationMs: number | undefined;

    /** Records the arrival of a short request. */
    public observeArrival(nowMs: number): void {
        if (this.lastSeenAtMs !== undefined) {
            const intervalMs = Math.min(shortReserveExpiryMs, nowMs - this.lastSeenAtMs);
            this.intervalMs =
                this.intervalMs === undefined
                    ? intervalMs
                    : this.intervalMs + smoothing * (intervalMs - this.intervalMs);
        }
        this.lastSeenAtMs = nowMs;
    }

    /** Records the run time of a short request that has ended. */
    public observeDuration(durationMs: number): void {
        this.durationMs =
            this.durationMs === undefined ? durationMs : this.durationMs + smoothing * (durationMs - this.durationMs);
    }

    /** Time at which the reserve expires if no short request arrives; undefined if it has expired already. */
    public getExpiryAtMs(nowMs: number): number | undefined {
        return this.isActive(nowMs) && this.lastSeenAtMs !== undefined
            ? this.lastSeenAtMs + shortReserveExpiryMs
            : undefined;
    }

    /** Number of slots of the window that long requests may not take. */
    public getReservedSlots(window: number, nowMs: number): number {
        if (!this.isActive(nowMs)) {
            return 0;
        }
        const busySlots = Math.ceil((this.durationMs ?? 0) / Math.max(1, this.intervalMs ?? shortReserveExpiryMs));
        return Math.min(Math.floor(window * maxReserveShare), Math.max(1, busySlots));
    }

    private isActive(nowMs: number): boolean {
        return this.lastSeenAtMs !== undefined && nowMs - this.lastSeenAtMs < shortReserveExpiryMs;
    }
}
