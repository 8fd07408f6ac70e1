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

/**
 * Time for which only records of an earlier start are read until it counts as the current one again. An older copy's record of a target
 * that has restarted expires sooner, and the running start writes records all the time. Milliseconds.
 */
const returnMs = 5_000;

/** The start times in the records of one target so far. */
interface Starts {
    current: number;
    past: readonly number[];
    /** Monotonic time of the first record of an earlier start since the last one of the current start; undefined: there was none. */
    returnedAtMs: number | undefined;
}

/** The start time from a target's record. */
export interface RecordedStart extends TargetIncarnation {
    /** Monotonic time at which the record was read; milliseconds. */
    readonly readAtMs: number;
    /** The record may be from an older copy of the store. */
    readonly mayBeOutdated: boolean;
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
     * Records the start time from a target's record. Returns false if the record is of an earlier start: another start time has been read
     * since, or the record may be from an older copy of the store and the start time known so far is later. At other times start times are
     * only tested for equality, because a target's clock may jump.
     */
    public recordStart({ idHash, startedAtMs, readAtMs, mayBeOutdated }: RecordedStart): boolean {
        if (startedAtMs === undefined) {
            return true;
        }
        const targetStarts = this.starts.get(idHash);
        if (targetStarts === undefined) {
            this.starts.set(idHash, { current: startedAtMs, past: [], returnedAtMs: undefined });
            return true;
        }
        const { current, past } = targetStarts;
        if (startedAtMs === current) {
            targetStarts.returnedAtMs = undefined;
            return true;
        }
        const isKnown = past.includes(startedAtMs);
        const isEarlier = isKnown || (mayBeOutdated && startedAtMs < current);
        if (isEarlier && (mayBeOutdated || !this.hasReturned(targetStarts, readAtMs))) {
            targetStarts.past = isKnown ? past : [startedAtMs, ...past].slice(0, maxPastStarts);
            return false;
        }
        targetStarts.past = [current, ...past.filter(start => start !== startedAtMs)].slice(0, maxPastStarts);
        targetStarts.current = startedAtMs;
        targetStarts.returnedAtMs = undefined;
        return true;
    }

    /** Whether records of earlier starts have been the only ones for so long that the target runs with one of them. */
    private hasReturned(targetStarts: Starts, readAtMs: number): boolean {
        targetStarts.returnedAtMs ??= readAtMs;
        return readAtMs - targetStarts.returnedAtMs >= returnMs;
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
