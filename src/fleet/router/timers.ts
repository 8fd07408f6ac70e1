import { MinHeap } from "../../decisions/minHeap.js";

/** Why a timer was set. */
export type TimerKind = "deadline" | "backoff" | "withdraw-repeat" | "no-target" | "answer-grace";

/** A point in time at which a request (or, for "no-target", a service) must be looked at. */
export interface Timer {
    readonly atMs: number;
    readonly key: string;
    readonly kind: TimerKind;
}

/** Below this, stale timers cost less than removing them. */
const minRemoveStaleAt = 1_024;

/** Timers ordered by time. Stale ones (their request is gone) are dropped when they come up or take half the space. */
export class TimerQueue {
    private readonly heap = new MinHeap<Timer>((first, second) => first.atMs < second.atMs);
    private removeStaleAt = minRemoveStaleAt;

    /** `isLive` tells whether a timer still matters. */
    public constructor(private readonly isLive: (timer: Timer) => boolean) {}

    /** Sets a timer. */
    public add(timer: Timer): void {
        if (this.heap.size >= this.removeStaleAt) {
            this.heap.removeUnless(this.isLive);
            this.removeStaleAt = Math.max(minRemoveStaleAt, this.heap.size * 2);
        }
        this.heap.add(timer);
    }

    /** When the next timer is due. */
    public nextAtMs(): number | undefined {
        for (let { first } = this.heap; first !== undefined; { first } = this.heap) {
            if (this.isLive(first)) {
                return first.atMs;
            }
            this.heap.takeFirst();
        }
        return undefined;
    }

    /** Takes the next timer if it is due. */
    public takeDue(nowMs: number): Timer | undefined {
        const atMs = this.nextAtMs();
        return atMs !== undefined && atMs <= nowMs ? this.heap.takeFirst() : undefined;
    }
}
