import { LRUCache } from "lru-cache";
import { TargetAvailability } from "./targetAvailability.js";

/**
 * One start of a target. A target may restart under the same id; what was observed of the previous start does not apply
 * to the next.
 */
export interface TargetIncarnation {
    /** 32-bit hash of the target's id. */
    readonly idHash: number;
    /** Start time by the target's own clock; undefined if the target does not report it. */
    readonly startedAtMs: number | undefined;
}

/** Several times the number of targets in a large fleet; the least recently used entries are evicted. */
const maxIncarnations = 32_768;

/** Maximum number of earlier start times cached per target; an older copy of the store lags by seconds only. */
const maxPastStarts = 8;

/** The start times in the records of one target so far. */
interface Starts {
    current: number;
    past: readonly number[];
}

/**
 * Keeps the availability of incarnations independently of their records, which expire and reappear while the platform's
 * store is unavailable.
 */
export class AvailabilityRegistry {
    private readonly incarnations = new LRUCache<string, TargetAvailability>({ max: maxIncarnations });
    private readonly starts = new LRUCache<number, Starts>({ max: maxIncarnations });

    /** The incarnation's availability, created on first use. */
    public find(incarnation: TargetIncarnation): TargetAvailability {
        const key = formatKey(incarnation);
        let availability = this.incarnations.get(key);
        if (availability === undefined) {
            availability = new TargetAvailability();
            this.incarnations.set(key, availability);
        }
        return availability;
    }

    /**
     * Records the start time from a target's record. Returns false if records have contained another start time since,
     * which means that this record is from an older copy of the store. Start times are only tested for equality,
     * because a target's clock may jump.
     */
    public recordStart({ idHash, startedAtMs }: TargetIncarnation): boolean {
        if (startedAtMs === undefined) {
            return true;
        }
        const targetStarts = this.starts.get(idHash);
        if (targetStarts === undefined) {
            this.starts.set(idHash, { current: startedAtMs, past: [] });
            return true;
        }
        if (targetStarts.past.includes(startedAtMs)) {
            return false;
        }
        if (targetStarts.current !== startedAtMs) {
            targetStarts.past = [targetStarts.current, ...targetStarts.past].slice(0, maxPastStarts);
            targetStarts.current = startedAtMs;
        }
        return true;
    }

    /**
     * Drops the availability of an incarnation whose record was removed, if it has no start time: it could not be
     * distinguished from the next incarnation of the same id.
     */
    public removeWithoutStartTime(incarnation: TargetIncarnation): void {
        if (incarnation.startedAtMs === undefined) {
            this.incarnations.delete(formatKey(incarnation));
        }
    }
}

function formatKey({ idHash, startedAtMs }: TargetIncarnation): string {
    return `${idHash} ${startedAtMs ?? ""}`;
}
