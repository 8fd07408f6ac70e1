import { IndexedHeap } from "../../src/decisions/structures/indexedHeap.js";

/** Actions in order of their times, on a fake clock. */
export class EventQueue {
    private readonly heap = new IndexedHeap<() => void>();

    public add(atMs: number, action: () => void): void {
        this.heap.set(action, atMs);
    }

    /** Runs all that is due, also what is added by it. */
    public runUntil(nowMs: number): void {
        for (let next = this.heap.getMin(); next !== undefined && next.priority <= nowMs; next = this.heap.getMin()) {
            this.heap.remove(next.key);
            next.key();
        }
    }
}
