/** A binary heap; adding and taking cost the logarithm of its size. */
export class MinHeap<T> {
    private items: T[] = [];

    public constructor(private readonly isBefore: (first: T, second: T) => boolean) {}

    /** The least item. */
    public get first(): T | undefined {
        return this.items[0];
    }

    public get size(): number {
        return this.items.length;
    }

    public add(item: T): void {
        let child = this.items.length;
        this.items.push(item);
        while (child > 0) {
            const parent = (child - 1) >> 1;
            if (!this.isBefore(this.items[child]!, this.items[parent]!)) {
                return;
            }
            this.sendTo(child, parent);
            child = parent;
        }
    }

    /** Takes the least item out. */
    public takeFirst(): T | undefined {
        const first = this.items[0];
        const last = this.items.pop();
        if (first === undefined || last === undefined || this.items.length === 0) {
            return first;
        }
        this.items[0] = last;
        let parent = 0;
        for (let least = this.findLeast(parent); least !== parent; least = this.findLeast(parent)) {
            this.sendTo(parent, least);
            parent = least;
        }
        return first;
    }

    /** Keeps only some items; linear. */
    public removeUnless(isKept: (item: T) => boolean): void {
        const kept = this.items.filter(isKept);
        this.items = [];
        kept.forEach(item => this.add(item));
    }

    private findLeast(parent: number): number {
        let least = parent;
        for (const child of [2 * parent + 1, 2 * parent + 2]) {
            if (child < this.items.length && this.isBefore(this.items[child]!, this.items[least]!)) {
                least = child;
            }
        }
        return least;
    }

    private sendTo(from: number, to: number): void {
        [this.items[from], this.items[to]] = [this.items[to]!, this.items[from]!];
    }
}
