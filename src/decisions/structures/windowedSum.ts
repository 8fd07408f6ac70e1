/** Parts that the span is cut into; the sum is exact to one part. */
const partCount = 8;

/** A sum over about the last span of time, in constant memory. */
export class WindowedSum {
    private readonly parts = new Array<number>(partCount).fill(0);
    private newestPart = -partCount;
    private total = 0;

    public constructor(private readonly spanMs: number) {}

    public add(amount: number, nowMs: number): void {
        this.advance(nowMs);
        this.parts[this.newestPart % partCount] += amount;
        this.total += amount;
    }

    public getTotal(nowMs: number): number {
        this.advance(nowMs);
        return Math.max(0, this.total);
    }

    /** The same over the newest part of the span alone; what is older than a part of it counts in proportion. */
    public getRecent(recentMs: number, nowMs: number): number {
        this.advance(nowMs);
        const partMs = this.spanMs / partCount;
        let leftMs = Math.min(recentMs, this.spanMs);
        let coveredMs = nowMs - this.newestPart * partMs;
        let sum = 0;
        for (let step = 0; step < partCount && leftMs > 0; step++) {
            const amount = this.parts[(this.newestPart - step + partCount) % partCount];
            sum += leftMs >= coveredMs ? amount : (amount * leftMs) / coveredMs;
            leftMs -= coveredMs;
            coveredMs = partMs;
        }
        return Math.max(0, sum);
    }

    private advance(nowMs: number): void {
        const part = Math.max(this.newestPart, Math.floor((nowMs * partCount) / this.spanMs));
        const steps = Math.min(partCount, part - this.newestPart);
        for (let step = 0; step < steps; step++) {
            // The clock's zero point is the process's start, so that the first parts before it have negative numbers.
            const index = (part - step + partCount) % partCount;
            this.total -= this.parts[index];
            this.parts[index] = 0;
        }
        this.newestPart = part;
    }
}
