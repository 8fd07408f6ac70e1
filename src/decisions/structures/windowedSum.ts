/** Number of equal parts of the window; the sum is accurate to one part. */
const partCount = 8;

/** A sum over a sliding time window in constant memory, accurate to one part of the window. */
export class WindowedSum {
    private readonly parts = new Array<number>(partCount).fill(0);
    private newestPart = -partCount;
    private total = 0;

    public constructor(private readonly windowMs: number) {}

    public add(amount: number, nowMs: number): void {
        this.advance(nowMs);
        this.parts[this.newestPart % partCount] += amount;
        this.total += amount;
    }

    public getTotal(nowMs: number): number {
        this.advance(nowMs);
        return Math.max(0, this.total);
    }

    /** Sum over the last `recentMs` of the window; a part that is only partly within that time counts in proportion. */
    public getRecent(recentMs: number, nowMs: number): number {
        this.advance(nowMs);
        const partMs = this.windowMs / partCount;
        let remainingMs = Math.min(recentMs, this.windowMs);
        let coveredMs = nowMs - this.newestPart * partMs;
        let sum = 0;
        for (let step = 0; step < partCount && remainingMs > 0; step++) {
            const amount = this.parts[(this.newestPart - step + partCount) % partCount];
            sum += remainingMs >= coveredMs ? amount : (amount * remainingMs) / coveredMs;
            remainingMs -= coveredMs;
            coveredMs = partMs;
        }
        return Math.max(0, sum);
    }

    private advance(nowMs: number): void {
        const part = Math.max(this.newestPart, Math.floor((nowMs * partCount) / this.windowMs));
        const steps = Math.min(partCount, part - this.newestPart);
        for (let step = 0; step < steps; step++) {
            // The clock starts at 0 with the process, so the parts before that have negative numbers.
            const index = (part - step + partCount) % partCount;
            this.total -= this.parts[index];
            this.parts[index] = 0;
        }
        this.newestPart = part;
    }
}
