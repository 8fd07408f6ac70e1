import { IndexedHeap } from "../src/decisions/structures/indexedHeap.js";

/** A core that wants to be called again at a time. */
export interface TickingCore<Effect> {
    tick(nowMs: number): readonly Effect[];
    nextTickAtMs(): number | undefined;
}

/** Time passes between two ticks, as on a real clock; rounding could otherwise set one timer for the same time for ever. */
const leastTickMs = 0.1;

/** A fake clock with what is due on it. */
export class Simulation {
    private readonly events = new IndexedHeap<() => void>();
    private readonly timers = new Map<object, number>();
    private currentMs = 0;

    public get nowMs(): number {
        return this.currentMs;
    }

    /** Runs what is due in order until nothing is left, or the next event's time is over. */
    public run(isOver: (atMs: number) => boolean): void {
        for (let next = this.events.getMin(); next !== undefined; next = this.events.getMin()) {
            if (isOver(next.priority)) {
                break;
            }
            this.events.remove(next.key);
            this.currentMs = Math.max(this.currentMs, next.priority);
            next.key();
        }
    }

    public addAt(atMs: number, run: () => void): void {
        this.events.set(run, atMs);
    }

    public addAfter(delayMs: number, run: () => void): void {
        this.events.set(run, this.currentMs + delayMs);
    }

    public addEvery(periodMs: number, offsetMs: number, run: () => void): void {
        this.addAt(this.currentMs + offsetMs, () => {
            run();
            this.addEvery(periodMs, periodMs, run);
        });
    }

    /** One timer per owner; a later call replaces an earlier one. */
    public setTimer(owner: object, atMs: number, run: () => void): void {
        this.timers.set(owner, atMs);
        this.addAt(Math.max(this.currentMs, atMs), () => {
            if (this.timers.get(owner) === atMs) {
                this.timers.delete(owner);
                run();
            }
        });
    }

    /** Calls the core when it next wants to be called, and so on. */
    public setTick<Effect>(core: TickingCore<Effect>, handle: (effects: readonly Effect[]) => void): void {
        const atMs = core.nextTickAtMs();
        if (atMs === undefined) {
            this.timers.delete(core);
            return;
        }
        this.setTimer(core, Math.max(atMs, this.currentMs + leastTickMs), () => {
            handle(core.tick(this.currentMs));
            this.setTick(core, handle);
        });
    }
}
