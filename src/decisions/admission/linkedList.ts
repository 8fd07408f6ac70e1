/** A node of a {@link LinkedList}; whoever keeps it can remove its value in constant time. */
export interface LinkedListNode<T> {
    readonly value: T;
    previous: LinkedListNode<T> | undefined;
    next: LinkedListNode<T> | undefined;
}

/**
 * A first-in-first-out list with removal from the middle in constant time. A `Map` in insertion order would do, but
 * finding its first key walks over all removed ones, which makes a pick linear in what has waited.
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

    /** Removes a node of this list; the caller removes each node once. */
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
