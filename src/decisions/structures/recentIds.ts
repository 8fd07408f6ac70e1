/** How long and how many ids are remembered. */
export interface RecentIdsLimits {
    readonly retentionMs: number;
    readonly maxIds: number;
}

interface Generation {
    readonly ids: Set<string>;
    readonly startedAtMs: number;
    newestAtMs: number;
}

/** Ids are dropped a generation at a time; with eight, at most an eighth more than needed is held. */
const generationCount = 8;

/**
 * Remembers ids for at least a given time, in bounded memory, and knows when it has had to forget too early.
 *
 * "Never seen here" is true only as long as nothing that was seen has been forgotten. After ids were dropped for want
 * of room, {@link isComplete} is false until their time has passed, and the caller must not claim to know.
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

    /** Whether an id that is not found was surely not added within the time kept. */
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
