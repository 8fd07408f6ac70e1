/**
 * Drain rate of a queue, measured only while the queue is not empty.
 *
 * Load pattern: saturation after an idle period. A plain rate of starts would be near zero after idle time, so that the first burst
 * would be refused as not servable in time; measured over busy time only, the rate reflects the available capacity.
 * Thresholds: no estimate before about two seconds of busy time, as a few starts are not significant; older busy time decays with a
 * time constant of ten seconds, so that the loss of a data centre changes the estimate within seconds.
 */
export class DrainRate {
    private starts = 0;
    private busyMs = 0;
    private busySinceMs: number | undefined;

    /** Records that the queue is no longer empty. */
    public handleBusy(nowMs: number): void {
        this.busySinceMs ??= nowMs;
    }

    /** Records that the queue has become empty. */
    public handleIdle(nowMs: number): void {
        this.update(nowMs);
        this.busySinceMs = undefined;
    }

    /** Records that one request was taken from the queue and started. */
    public handleStart(nowMs: number): void {
        this.update(nowMs);
        this.starts += 1;
    }

    /** Time in which `waiting` requests are expected to start; milliseconds; undefined before enough busy time was measured. */
    public estimateWaitMs(waiting: number, nowMs: number): number | undefined {
        this.update(nowMs);
        if (this.busyMs < minBusyMs) {
            return undefined;
        }
        return (waiting * this.busyMs) / Math.max(this.starts, minStarts);
    }

    private update(nowMs: number): void {
        if (this.busySinceMs === undefined || nowMs <= this.busySinceMs) {
            return;
        }
        const elapsedMs = nowMs - this.busySinceMs;
        const decay = Math.exp(-elapsedMs / timeConstantMs);
        this.starts *= decay;
        this.busyMs = this.busyMs * decay + timeConstantMs * (1 - decay);
        this.busySinceMs = nowMs;
    }
}

const minBusyMs = 1_800;
const timeConstantMs = 10_000;
/** Keeps the estimate finite when no request has started for a long time. */
const minStarts = 0.1;
