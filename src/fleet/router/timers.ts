import { IndexedHeap } from "../../decisions/structures/indexedHeap.js";

/** Why a timer was set. */
export type TimerKind = "deadline" | "backoff" | "withdraw-repeat" | "no-target" | "answer-grace";

/** A point in time at which a request (or, for "no-target", a service) must be looked at. */
export interface Timer {
    readonly kind: TimerKind;
    readonly key: string;
}

/**
 * Timers ordered by time, one per kind and key. Deadlines are removed with their request, as they lie far ahead; the others
 * come up within seconds, and whoever handles them looks whether they still matter.
 */
export class TimerQueue {
    private readonly heap = new IndexedHeap<string>();

    /** Sets a timer, or moves it when it is set. */
    public set(kind: TimerKind, key: string, atMs: number): void {
        this.heap.set(`${kind}\n${key}`, atMs);
    }

    public remove(kind: TimerKind, key: string): void {
        this.heap.remove(`${kind}\n${key}`);
    }

    /** When the next timer is due. */
    public nextAtMs(): number | undefined {
        return this.heap.getMin()?.priority;
    }

    /** Takes the next timer if it is due. */
    public takeDue(nowMs: number): Timer | undefined {
        const least = this.heap.getMin();
        if (least === undefined || least.priority > nowMs) {
            return undefined;
        }
        this.heap.remove(least.key);
        const split = least.key.indexOf("\n");
        return { kind: least.key.slice(0, split) as TimerKind, key: least.key.slice(split + 1) };
    }
}
