import { ManualClock } from "../../src/base/clock.js";

/** A fake clock whose sleepers wake once it has advanced far enough; independent of the speed of the machine. */
export class SteppedClock extends ManualClock {
    private sleepers: { readonly dueAtMs: number; readonly wake: () => void }[] = [];

    public override advance(ms: number): void {
        super.advance(ms);
        const due = this.sleepers.filter(({ dueAtMs }) => dueAtMs <= this.nowMs());
        this.sleepers = this.sleepers.filter(({ dueAtMs }) => dueAtMs > this.nowMs());
        due.forEach(({ wake }) => wake());
    }

    public sleep(ms: number): Promise<void> {
        return new Promise(wake => this.sleepers.push({ dueAtMs: this.nowMs() + ms, wake }));
    }
}
