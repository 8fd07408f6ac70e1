import { LRUCache } from "lru-cache";
import { TargetAvailability } from "./targetAvailability.js";

/** One start of a target. A target may start again under its id; what was learnt of the start before says nothing of it. */
export interface TargetIncarnation {
    /** 32-bit hash of the target's id. */
    readonly idHash: number;
    /** When it started, by its own clock; undefined when it does not say. */
    readonly startedAtMs: number | undefined;
}

/** Several times the targets of a large fleet; those that are gone are forgotten as later ones come. */
const mostIncarnations = 32_768;

/** Earlier starts of one target that are remembered; an older copy of the store is seconds old. */
const mostPastStarts = 8;

/** The starts that records of one target have named. */
interface Starts {
    current: number;
    past: readonly number[];
}

/** Keeps the availability of incarnations beyond their records, which lapse and return while the platform's store is away. */
export class AvailabilityRegistry {
    private readonly incarnations = new LRUCache<string, TargetAvailability>({ max: mostIncarnations });
    private readonly starts = new LRUCache<number, Starts>({ max: mostIncarnations });

    /** The incarnation's availability, made at the first call. */
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
     * Takes the start that a target's record names; false: records have named another one since, so that this record is from an older
     * copy. Starts are told apart and not compared, as a target's clock may jump.
     */
    public recordStart({ idHash, startedAtMs }: TargetIncarnation): boolean {
        if (startedAtMs === undefined) {
            return true;
        }
        const known = this.starts.get(idHash);
        if (known === undefined) {
            this.starts.set(idHash, { current: startedAtMs, past: [] });
            return true;
        }
        if (known.past.includes(startedAtMs)) {
            return false;
        }
        if (known.current !== startedAtMs) {
            known.past = [known.current, ...known.past].slice(0, mostPastStarts);
            known.current = startedAtMs;
        }
        return true;
    }

    /** A target's record is gone. Without a start time an incarnation can't be told from the next one of its id. */
    public removeWithoutStartTime(incarnation: TargetIncarnation): void {
        if (incarnation.startedAtMs === undefined) {
            this.incarnations.delete(formatKey(incarnation));
        }
    }
}

function formatKey({ idHash, startedAtMs }: TargetIncarnation): string {
    return `${idHash} ${startedAtMs ?? ""}`;
}
