/** Number of buckets of the window; the sum is accurate to one bucket. */
const bucketCount = 8;

/** A sum over a sliding time window in constant memory, accurate to one bucket of the window. */
export class WindowedSum {
    private readonly buckets = new Array<number>(bucketCount).fill(0);
    private newestBucket = -bucketCount;
    private total = 0;

    public constructor(private readonly windowMs: number) {}

    public add(amount: number, nowMs: number): void {
        this.advance(nowMs);
        this.buckets[this.newestBucket % bucketCount] += amount;
        this.total += amount;
    }

    public getTotal(nowMs: number): number {
        this.advance(nowMs);
        return Math.max(0, this.total);
    }

    /** Sum over the last `recentMs` of the window; a bucket that is only partly within that time counts in proportion. */
    public getRecent(recentMs: number, nowMs: number): number {
        this.advance(nowMs);
        const bucketMs = this.windowMs / bucketCount;
        let remainingMs = Math.min(recentMs, this.windowMs);
        let coveredMs = nowMs - this.newestBucket * bucketMs;
        let sum = 0;
        for (let step = 0; step < bucketCount && remainingMs > 0; step++) {
            const amount = this.buckets[(this.newestBucket - step + bucketCount) % bucketCount];
            sum += remainingMs >= coveredMs ? amount : (amount * remainingMs) / coveredMs;
            remainingMs -= coveredMs;
            coveredMs = bucketMs;
        }
        return Math.max(0, sum);
    }

    private advance(nowMs: number): void {
        const bucket = Math.max(this.newestBucket, Math.floor((nowMs * bucketCount) / this.windowMs));
        const steps = Math.min(bucketCount, bucket - this.newestBucket);
        for (let step = 0; step < steps; step++) {
            // The clock starts at 0 with the process, so the buckets before that have negative numbers.
            const index = (bucket - step + bucketCount) % bucketCount;
            this.total -= this.buckets[index];
            this.buckets[index] = 0;
        }
        this.newestBucket = bucket;
    }
}
