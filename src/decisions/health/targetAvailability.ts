import { LRUCache } from "lru-cache";

/** One start of a target. A target may start again under its id; what was learnt of the start before says nothing of it. */
export interface TargetIncarnation {
    /** 32-bit hash of the target's id. */
    readonly idHash: number;
    /** When it started, by its own clock; undefined when it does not say. */
    readonly startedAtMs: number | undefined;
}

/** Where a router learnt that a target is leaving. */
export type LeavingSource =
    /** The target's record in the platform's store. */
    | "record"
    /** One of the target's answers to this router. */
    | "answer"
    /** Another router's state. */
    | "peer";

/** The first evidence that an incarnation is leaving. */
export interface LeavingEvidence {
    readonly source: LeavingSource;
    /** Monotonic time at which it was received. */
    readonly atMs: number;
}

interface IncarnationState {
    leaving: LeavingEvidence | undefined;
}

/** Incarnations that are remembered; targets that are gone are forgotten as later ones come. */
const mostIncarnations = 16_384;

/**
 * Joins what a router learns about whether targets take requests.
 *
 * Each source may be late or unreachable: the platform's store can be away while targets leave, and come back from an older copy.
 * Evidence is kept for each incarnation and never withdrawn, so that the order in which it comes does not matter.
 */
export class TargetAvailability {
    private readonly states = new LRUCache<string, IncarnationState>({ max: mostIncarnations });

    /** Takes evidence that an incarnation is leaving; false: it was known. */
    public recordLeaving(incarnation: TargetIncarnation, evidence: LeavingEvidence): boolean {
        const state = this.open(incarnation);
        if (state.leaving !== undefined) {
            return false;
        }
        state.leaving = evidence;
        return true;
    }

    /** The first evidence that the incarnation is leaving; undefined: none. */
    public findLeaving(incarnation: TargetIncarnation): LeavingEvidence | undefined {
        return this.states.get(formatKey(incarnation))?.leaving;
    }

    /** A target's record is gone. An incarnation without a start time can't be told from the next one of its id. */
    public removeUnnamed(incarnation: TargetIncarnation): void {
        if (incarnation.startedAtMs === undefined) {
            this.states.delete(formatKey(incarnation));
        }
    }

    private open(incarnation: TargetIncarnation): IncarnationState {
        const key = formatKey(incarnation);
        let state = this.states.get(key);
        if (state === undefined) {
            state = { leaving: undefined };
            this.states.set(key, state);
        }
        return state;
    }
}

function formatKey({ idHash, startedAtMs }: TargetIncarnation): string {
    return `${idHash} ${startedAtMs ?? ""}`;
}
