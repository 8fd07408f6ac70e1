import { IndexedHeap } from "../../decisions/structures/indexedHeap.js";

/** Purpose of a timer. */
export type TimerKind = "deadline" | "backoff" | "withdraw-repeat" | "no-target" | "answer-grace";

/** Timer of a request (or, for "no-target", of a service); `key` is the request ID or the service name. */
export interface Timer {
    readonly kind: TimerKind;
    readonly key: string;
}

/**
 * Timers ordered by due time, one per kind and key. Deadlines are removed together with their request, because they may be
 * far in the future. Other timers fire within seconds, and their handlers check whether they still apply.
 */
export class TimerQueue {
    private readonly heap = new IndexedHeap<string>();

    /** Sets a timer, or reschedules it if it is already set. */
    public set(kind: TimerKind, key: string, atMs: number): void {
        this.heap.set(`${kind}\n${key}`, atMs);
    }

    public remove(kind: TimerKind, key: string): void {
        this.heap.remove(`${kind}\n${key}`);
    }

    /** Time at which the next timer is due, in milliseconds; undefined without timers. */
    public nextAtMs(): number | undefined {
        return this.heap.getMin()?.priority;
    }

    /** Removes and returns the next timer if it is due. */
    public takeDue(nowMs: number): Timer | undefined {
        const first = this.heap.getMin();
        if (first === undefined || first.priority > nowMs) {
            return undefined;
        }
        this.heap.remove(first.key);
        const separatorIndex = first.key.indexOf("\n");
        return { kind: first.key.slice(0, separatorIndex) as TimerKind, key: first.key.slice(separatorIndex + 1) };
    }
}
