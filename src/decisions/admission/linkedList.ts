/** A node of a {@link LinkedList}; with it the value can be removed in constant time. */
export interface LinkedListNode<T> {
    readonly value: T;
    previous: LinkedListNode<T> | undefined;
    next: LinkedListNode<T> | undefined;
}

/**
 * A doubly linked first-in-first-out list with removal from any position in constant time. A `Map` in insertion order is not used, as
 * finding its first key iterates over all removed keys, which makes each selection linear in the number of removed values.
 */
export class LinkedList<T> {
    private first: LinkedListNode<T> | undefined;
    private last: LinkedListNode<T> | undefined;
    private count = 0;

    public get size(): number {
        return this.count;
    }

    public add(value: T): LinkedListNode<T> {
        const node: LinkedListNode<T> = { value, previous: this.last, next: undefined };
        if (this.last === undefined) {
            this.first = node;
        } else {
            this.last.next = node;
        }
        this.last = node;
        this.count += 1;
        return node;
    }

    public getFirst(): T | undefined {
        return this.first?.value;
    }

    /** Removes a node of this list; each node must be removed only once. */
    public remove(node: LinkedListNode<T>): void {
        if (node.previous === undefined) {
            this.first = node.next;
        } else {
            node.previous.next = node.next;
        }
        if (node.next === undefined) {
            this.last = node.previous;
        } else {
            node.next.previous = node.previous;
        }
        this.count -= 1;
    }
}
