/**
 * An account may lag behind the leading account by at most what the leader gained within this time, in milliseconds.
 */
export const catchUpWindowMs = 5_000;
/** The allowed lag is at least this many times the largest normalized cost of a recent request. */
export const minCatchUpCosts = 8;

const sampleEveryMs = 500;
const maxCostWindowMs = 60_000;

interface Sample {
    readonly atMs: number;
    readonly maxService: number;
}

/**
 * Limits how far a backlogged account may lag behind the account with the most service.
 *
 * Load pattern: a network partition heals. One side has served an account for minutes, which the other side could not
 * observe. If accounts were served strictly by their service, the leading account would now be served nothing until all
 * others have caught up by minutes of service, and its callers would see a stall. A lagging account is therefore lifted
 * to the allowed lag.
 *
 * The window of five seconds of the leader's own gain is far longer than exchanges can be stale (about a second), so
 * ordinary staleness is fully compensated. It is also the longest time that a leader waits for others to catch up, at
 * any throughput of the fleet. The second limit, eight times the largest cost, is for slow services on which one
 * request weighs more than five seconds of gain: several agents with the same state may each start one request of the
 * same account at once. The floor uses the minimum of the samples, so that no account is lifted because of a leader
 * whose estimate is later refunded or who has only just become visible.
 */
export class CatchUpCap {
    private readonly samples: Sample[] = [];
    private maxCost = 0;
    private previousMaxCost = 0;
    private maxCostSinceMs = 0;

    /** Records the normalized cost of a request that was started. */
    public observeCost(normalizedCost: number, nowMs: number): void {
        if (nowMs - this.maxCostSinceMs > maxCostWindowMs) {
            this.previousMaxCost = nowMs - this.maxCostSinceMs > 2 * maxCostWindowMs ? 0 : this.maxCost;
            this.maxCost = 0;
            this.maxCostSinceMs = nowMs;
        }
        this.maxCost = Math.max(this.maxCost, normalizedCost);
    }

    /** Whether the next sample is due. Sampling visits every backlogged account, so it is rate-limited. */
    public isSampleDue(nowMs: number): boolean {
        const last = this.samples[this.samples.length - 1];
        return last === undefined || nowMs - last.atMs >= sampleEveryMs;
    }

    /** Records the maximum normalized service among the accounts that are backlogged now. */
    public observeMaxService(maxService: number, nowMs: number): void {
        const last = this.samples[this.samples.length - 1];
        if (last !== undefined && nowMs - last.atMs > catchUpWindowMs) {
            this.samples.length = 0;
        }
        this.samples.push({ atMs: nowMs, maxService });
        while (this.samples.length > 1 && nowMs - (this.samples[1] as Sample).atMs >= catchUpWindowMs) {
            this.samples.shift();
        }
    }

    /**
     * Minimum normalized service of a backlogged account; accounts below it are lifted. Undefined until samples cover a
     * full window.
     */
    public getFloor(nowMs: number): number | undefined {
        const first = this.samples[0];
        const last = this.samples[this.samples.length - 1];
        if (first === undefined || last === undefined || nowMs - first.atMs < catchUpWindowMs) {
            return undefined;
        }
        const leaderService = this.samples.reduce(
            (minService, sample) => Math.min(minService, sample.maxService),
            last.maxService,
        );
        return Math.min(
            leaderService,
            last.maxService - minCatchUpCosts * Math.max(this.maxCost, this.previousMaxCost),
        );
    }
}
