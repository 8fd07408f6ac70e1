/** Retention time and maximum number of ids. */
export interface RecentIdsLimits {
    readonly retentionMs: number;
    readonly maxIds: number;
}

interface Generation {
    readonly ids: Set<string>;
    readonly startedAtMs: number;
    newestAtMs: number;
}

/** Ids are evicted one generation at a time; with eight generations, at most an eighth more ids than necessary are kept. */
const generationCount = 8;

/**
 * A set of recently added ids with a minimum retention time and bounded memory, which records whether ids were evicted too early.
 *
 * A missing id proves that it was not added recently only while no id has been evicted early. After an eviction because of the size
 * limit, {@link isComplete} is false until the retention time of the evicted ids has passed; until then a missing id proves nothing.
 */
export class RecentIds {
    private readonly generations: Generation[] = [];
    private incompleteUntilMs = Number.NEGATIVE_INFINITY;

    public constructor(private readonly bounds: RecentIdsLimits) {}

    public add(id: string, nowMs: number): void {
        const generation = this.openGeneration(nowMs);
        generation.ids.add(id);
        generation.newestAtMs = nowMs;
    }

    public has(id: string): boolean {
        return this.generations.some(generation => generation.ids.has(id));
    }

    public remove(id: string): void {
        for (const generation of this.generations) {
            generation.ids.delete(id);
        }
    }

    /** Whether an id that is not found is certain not to have been added within the retention time. */
    public isComplete(nowMs: number): boolean {
        return nowMs >= this.incompleteUntilMs;
    }

    private openGeneration(nowMs: number): Generation {
        const newest = this.generations[this.generations.length - 1];
        const isFull =
            newest === undefined ||
            newest.ids.size >= Math.ceil(this.bounds.maxIds / generationCount) ||
            nowMs - newest.startedAtMs >= this.bounds.retentionMs / generationCount;
        if (!isFull) {
            return newest;
        }
        const generation = { ids: new Set<string>(), startedAtMs: nowMs, newestAtMs: nowMs };
        this.generations.push(generation);
        this.removeOldest(nowMs);
        return generation;
    }

    private removeOldest(nowMs: number): void {
        let oldest = this.generations[0];
        while (oldest !== undefined && oldest.newestAtMs + this.bounds.retentionMs <= nowMs) {
            this.generations.shift();
            oldest = this.generations[0];
        }
        if (this.generations.length > generationCount + 1 && oldest !== undefined) {
            this.generations.shift();
            this.incompleteUntilMs = oldest.newestAtMs + this.bounds.retentionMs;
        }
    }
}
