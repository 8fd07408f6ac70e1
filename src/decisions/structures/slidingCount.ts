/** Exact count of the events in a sliding time window; memory grows with the number of events in the window. */
export class SlidingCount {
    private times: number[] = [];
    private first = 0;

    public constructor(private readonly windowMs: number) {}

    public add(nowMs: number): void {
        this.times.push(nowMs);
    }

    /** Number of events in the window that ends at `nowMs`. */
    public count(nowMs: number): number {
        while (this.first < this.times.length && this.times[this.first] <= nowMs - this.windowMs) {
            this.first += 1;
        }
        if (this.first > this.times.length / 2 && this.first > 32) {
            this.times = this.times.slice(this.first);
            this.first = 0;
        }
        return this.times.length - this.first;
    }
}
