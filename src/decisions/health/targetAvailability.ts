import { TargetPause } from "./targetPause.js";

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

/**
 * Joins what a router learns about whether one incarnation of a target takes requests.
 *
 * Each source may be late or unreachable: the platform's store can be away while targets leave, and come back from an older copy.
 * Evidence is never withdrawn, so that the order in which it comes does not matter.
 */
export class TargetAvailability {
    /** The time for which it wants no requests of this router. */
    public readonly pause = new TargetPause();
    private evidence: LeavingEvidence | undefined;

    /** The first evidence that it is leaving; undefined: none. */
    public get leaving(): LeavingEvidence | undefined {
        return this.evidence;
    }

    /** Takes evidence that it is leaving; false: that was known. */
    public recordLeaving(evidence: LeavingEvidence): boolean {
        if (this.evidence !== undefined) {
            return false;
        }
        this.evidence = evidence;
        return true;
    }

    /** Whether it wants no requests at all now. */
    public isClosed(nowMs: number): boolean {
        return this.evidence !== undefined || this.pause.computeRemainingMs(nowMs) > 0;
    }

    /** Whether a request may be sent now. */
    public canAccept(nowMs: number): boolean {
        return this.evidence === undefined && this.pause.canStart(nowMs);
    }
}
