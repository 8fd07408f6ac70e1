interface HeapNode<K> {
    readonly key: K;
    priority: number;
    order: number;
}

/** A key with its priority, as {@link IndexedHeap.getMin} shows it. */
export interface HeapEntry<K> {
    readonly key: K;
    readonly priority: number;
}

/**
 * A binary heap whose entries can be found, moved and removed by key; each step costs O(log n).
 * Entries of equal priority come out in the order of their last update, so that equals take turns.
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

    /** Adds the key, or moves it when it is there already. */
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

    /** Removes the key; false when it was not there. */
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

    /** The entry of least priority, left in place. */
    public getMin(): HeapEntry<K> | undefined {
        return this.nodes[0];
    }

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
            let least = position;
            if (left < this.nodes.length && this.isBefore(left, least)) {
                least = left;
            }
            if (right < this.nodes.length && this.isBefore(right, least)) {
                least = right;
            }
            if (least === position) {
                return;
            }
            this.setSwapped(position, least);
            position = least;
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
