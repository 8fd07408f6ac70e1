/**
 * Holds which version of a service's targets began a stream, until the stream can no longer be resumed.
 *
 * Bounded in number: callers choose the ids, and a stream whose entry was evicted is refused when it is resumed, not mixed.
 */
import { LRUCache } from "lru-cache";

/** A version of the software of a service's targets. */
export interface ServiceVersion {
    readonly service: string;
    readonly version: string;
}

/** An entry: undefined version if the key was used for streams of several versions. */
export interface StreamEntry {
    readonly key: string;
    readonly began: ServiceVersion | undefined;
    /** Time for which the stream can still be resumed; milliseconds. */
    readonly leftMs: number;
}

/** Maximum number of streams; those that were recorded longest ago are evicted. */
const maxStreams = 20_000;
/** Maximum time for which an entry is kept; milliseconds. */
const maxLeftMs = 600_000;

interface StoredEntry {
    readonly began: ServiceVersion | undefined;
    readonly untilMs: number;
}

/** Table of streams and the versions that began them. */
export class StreamVersionTable {
    private readonly entries = new LRUCache<string, StoredEntry>({ max: maxStreams });

    /** Adds a stream. A key that is used for streams of several versions names none of them from then on. */
    public record({ key, began, leftMs }: StreamEntry, nowMs: number): void {
        const known = this.findStored(key, nowMs);
        const untilMs = nowMs + Math.min(leftMs, maxLeftMs);
        this.entries.set(key, {
            began: known === undefined || isSame(known.began, began) ? began : undefined,
            untilMs: Math.max(untilMs, known?.untilMs ?? untilMs),
        });
    }

    /** The entry of a stream; undefined without one, or if the stream can no longer be resumed. */
    public find(key: string, nowMs: number): StreamEntry | undefined {
        const stored = this.findStored(key, nowMs);
        return stored === undefined ? undefined : { key, began: stored.began, leftMs: stored.untilMs - nowMs };
    }

    /** Entries of all streams that can still be resumed. */
    public listAll(nowMs: number): readonly StreamEntry[] {
        return [...this.entries.entries()]
            .filter(([, { untilMs }]) => untilMs > nowMs)
            .map(([key, { began, untilMs }]) => ({ key, began, leftMs: untilMs - nowMs }));
    }

    /** Removes and returns the entries of all streams. */
    public takeAll(nowMs: number): readonly StreamEntry[] {
        const taken = this.listAll(nowMs);
        this.entries.clear();
        return taken;
    }

    /** Removes and returns the entries of a service's streams. */
    public takeService(service: string, nowMs: number): readonly StreamEntry[] {
        const taken = this.listAll(nowMs).filter(({ began }) => began?.service === service);
        taken.forEach(({ key }) => this.entries.delete(key));
        return taken;
    }

    private findStored(key: string, nowMs: number): StoredEntry | undefined {
        const stored = this.entries.peek(key);
        if (stored !== undefined && stored.untilMs <= nowMs) {
            this.entries.delete(key);
            return undefined;
        }
        return stored;
    }
}

function isSame(first: ServiceVersion | undefined, second: ServiceVersion | undefined): boolean {
    return first?.service === second?.service && first?.version === second?.version;
}
