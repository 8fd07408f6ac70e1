/**
 * Measures how much of a service's capacity is idle, sampled when requests arrive.
 *
 * Load pattern: accounts beyond their share request more than the spare capacity. A single sample cannot show whether
 * the spare capacity has to be divided among them, because even an engine under constant demand is idle for a moment
 * between two prompts. The fraction of engines without queued prefill work, smoothed over about a second, distinguishes
 * a fleet with spare capacity from one without.
 */

/**
 * Time constant in milliseconds; covers the prefill of several prompts, so that a single gap in the traffic has little
 * effect.
 */
const smoothingMs = 1_000;

/** Smoothed fraction of engines without prefill work, 0 to 1. */
export class IdleShare {
    private share = 0;
    private lastAtMs: number | undefined;

    public get current(): number {
        return this.share;
    }

    /** Records one sample: `idle` of `total` engines have no prefill work. */
    public observe(idle: number, total: number, nowMs: number): void {
        const sample = total === 0 ? 0 : idle / total;
        const elapsedMs = this.lastAtMs === undefined ? smoothingMs : nowMs - this.lastAtMs;
        this.lastAtMs = nowMs;
        this.share += (sample - this.share) * (1 - Math.exp(-elapsedMs / smoothingMs));
    }
}
