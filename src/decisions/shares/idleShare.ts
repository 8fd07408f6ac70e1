/**
 * How much of a service's capacity lies idle, as requests that arrive find it.
 *
 * Load pattern: accounts beyond their share ask for more than is left over. Whether there is anything to be levelled among them
 * can't be known from one look: an engine that is always asked for is idle now and then, between two prompts. The
 * share of engines with nothing to read, smoothed over about a second, distinguishes a fleet with room from one without.
 */

/** Time constant: some prompts' reading, so that one pause of the traffic decides nothing; milliseconds. */
const smoothingMs = 1_000;

/** Smoothed share of engines that have nothing to read, 0 to 1. */
export class IdleShare {
    private share = 0;
    private lastAtMs: number | undefined;

    public get current(): number {
        return this.share;
    }

    /** One look at the engines; `idle` of `total` have nothing to read. */
    public observe(idle: number, total: number, nowMs: number): void {
        const sample = total === 0 ? 0 : idle / total;
        const elapsedMs = this.lastAtMs === undefined ? smoothingMs : nowMs - this.lastAtMs;
        this.lastAtMs = nowMs;
        this.share += (sample - this.share) * (1 - Math.exp(-elapsedMs / smoothingMs));
    }
}
