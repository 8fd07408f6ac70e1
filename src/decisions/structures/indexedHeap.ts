interface HeapNode<K> {
    readonly key: K;
    priority: number;
    order: number;
}

/** A key with its priority, as returned by {@link IndexedHeap.getMin}. */
export interface HeapEntry<K> {
    readonly key: K;
    readonly priority: number;
}

/**
 * A binary min-heap whose entries can be found, updated and removed by key; each operation costs O(log n).
 * Entries of equal priority are ordered by their last update, which gives a round robin among them.
 */
export class IndexedHeap<K> {
    private readonly nodes: HeapNode<K>[] = [];
    private readonly positions = new Map<K, number>();
    private nextOrder = 0;

    public get size(): number {
        return this.nodes.length;
    }

    public has(key: K): boolean {
        return this.positions.has(key);
    }

    /** Adds the key, or updates its priority if it is in the heap already. */
    public set(key: K, priority: number): void {
        const order = this.nextOrder;
        this.nextOrder += 1;
        const position = this.positions.get(key);
        if (position === undefined) {
            this.nodes.push({ key, priority, order });
            this.positions.set(key, this.nodes.length - 1);
            this.sortUp(this.nodes.length - 1);
            return;
        }
        const node = this.nodes[position];
        if (node === undefined || node.priority === priority) {
            return;
        }
        node.priority = priority;
        node.order = order;
        this.sortDown(this.sortUp(position));
    }

    /** Removes the key; false if it was not in the heap. */
    public remove(key: K): boolean {
        const position = this.positions.get(key);
        if (position === undefined) {
            return false;
        }
        const last = this.nodes.pop();
        this.positions.delete(key);
        if (last !== undefined && position < this.nodes.length) {
            this.nodes[position] = last;
            this.positions.set(last.key, position);
            this.sortDown(this.sortUp(position));
        }
        return true;
    }

    /** The entry with the lowest priority value, without removing it. */
    public getMin(): HeapEntry<K> | undefined {
        return this.nodes[0];
    }

    /** Moves a node towards the root until its parent is before it; returns its new position. */
    private sortUp(start: number): number {
        let position = start;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (!this.isBefore(position, parent)) {
                break;
            }
            this.setSwapped(position, parent);
            position = parent;
        }
        return position;
    }

    private sortDown(start: number): void {
        let position = start;
        for (;;) {
            const left = 2 * position + 1;
            const right = left + 1;
            let smallest = position;
            if (left < this.nodes.length && this.isBefore(left, smallest)) {
                smallest = left;
            }
            if (right < this.nodes.length && this.isBefore(right, smallest)) {
                smallest = right;
            }
            if (smallest === position) {
                return;
            }
            this.setSwapped(position, smallest);
            position = smallest;
        }
    }

    private isBefore(a: number, b: number): boolean {
        const first = this.nodes[a] as HeapNode<K>;
        const second = this.nodes[b] as HeapNode<K>;
        return first.priority < second.priority || (first.priority === second.priority && first.order < second.order);
    }

    private setSwapped(a: number, b: number): void {
        const first = this.nodes[a] as HeapNode<K>;
        const second = this.nodes[b] as HeapNode<K>;
        this.nodes[a] = second;
        this.nodes[b] = first;
        this.positions.set(second.key, a);
        this.positions.set(first.key, b);
    }
}
