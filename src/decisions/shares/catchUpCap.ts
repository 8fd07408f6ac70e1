/** An account may lag the leader by what the leader gained within this time; milliseconds. */
export const catchUpWindowMs = 5_000;
/** ... and never by less than this many of the largest normalized cost seen lately. */
export const minCatchUpCosts = 8;

const sampleEveryMs = 500;
const largestCostSpanMs = 60_000;

interface Sample {
    readonly atMs: number;
    readonly greatest: number;
}

/**
 * Limits how far a backlogged account may lag the one with the most service.
 *
 * Load pattern: a partition heals. One side has served an account for minutes that the other side could not see.
 * Served strictly by its service, the account that led would now get nothing until all others have made up for
 * minutes; its callers see a stall. An account that lags is therefore lifted to within the cap.
 *
 * Five seconds of the leader's own gain is far more than exchanges can be stale (about a second), so that ordinary
 * staleness is corrected whole; and it is the longest that a leader waits for others to catch up, at any rate of the
 * fleet. The second limit, eight of the largest cost, is for slow services on which one request weighs more than five
 * seconds of gain: several agents with the same view may each start one request of the same account at once.
 * The floor takes the least of the samples, so that a leader whose estimate is refunded, or who has just become
 * visible, lifts nobody.
 */
export class CatchUpCap {
    private readonly samples: Sample[] = [];
    private largest = 0;
    private largestBefore = 0;
    private largestFromMs = 0;

    /** Notes the normalized cost of a request that was started. */
    public observeCost(normalizedCost: number, nowMs: number): void {
        if (nowMs - this.largestFromMs > largestCostSpanMs) {
            this.largestBefore = nowMs - this.largestFromMs > 2 * largestCostSpanMs ? 0 : this.largest;
            this.largest = 0;
            this.largestFromMs = nowMs;
        }
        this.largest = Math.max(this.largest, normalizedCost);
    }

    /** Whether the next sample is due; sampling looks at every backlogged account. */
    public isSampleDue(nowMs: number): boolean {
        const last = this.samples[this.samples.length - 1];
        return last === undefined || nowMs - last.atMs >= sampleEveryMs;
    }

    /** Takes the greatest normalized service of the accounts that are backlogged now. */
    public observeMaxService(greatest: number, nowMs: number): void {
        const last = this.samples[this.samples.length - 1];
        if (last !== undefined && nowMs - last.atMs > catchUpWindowMs) {
            this.samples.length = 0;
        }
        this.samples.push({ atMs: nowMs, greatest });
        while (this.samples.length > 1 && nowMs - (this.samples[1] as Sample).atMs >= catchUpWindowMs) {
            this.samples.shift();
        }
    }

    /** Least normalized service that a backlogged account is left at; undefined until a whole window was seen. */
    public getFloor(nowMs: number): number | undefined {
        const first = this.samples[0];
        const last = this.samples[this.samples.length - 1];
        if (first === undefined || last === undefined || nowMs - first.atMs < catchUpWindowMs) {
            return undefined;
        }
        const leader = this.samples.reduce((least, sample) => Math.min(least, sample.greatest), last.greatest);
        return Math.min(leader, last.greatest - minCatchUpCosts * Math.max(this.largest, this.largestBefore));
    }
}
