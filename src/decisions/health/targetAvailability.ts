import { TargetPause } from "./targetPause.js";

/** The source from which a router learned that a target is leaving. */
export type LeavingSource =
    /** The target's record in the platform's store. */
    | "record"
    /** One of the target's responses to this router. */
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
 * Combines what a router has received about whether one incarnation of a target accepts requests.
 *
 * Each source may be late or unreachable: the platform's store can be unavailable while targets leave, and recover from
 * an older copy. Evidence is never withdrawn, so the order in which it arrives does not matter.
 */
export class TargetAvailability {
    /** The pause that the target requested from this router. */
    public readonly pause = new TargetPause();
    private evidence: LeavingEvidence | undefined;

    /** The first evidence that the target is leaving; undefined if there is none. */
    public get leaving(): LeavingEvidence | undefined {
        return this.evidence;
    }

    /** Records evidence that the target is leaving. Returns false if there was evidence already. */
    public recordLeaving(evidence: LeavingEvidence): boolean {
        if (this.evidence !== undefined) {
            return false;
        }
        this.evidence = evidence;
        return true;
    }

    /** Whether the target is leaving or in a pause. */
    public isClosed(nowMs: number): boolean {
        return this.evidence !== undefined || this.pause.computeRemainingMs(nowMs) > 0;
    }

    /** Whether a request may be sent to the target now. */
    public canAccept(nowMs: number): boolean {
        return this.findRefusalReason(nowMs) === undefined;
    }

    /** Why no request may be sent to the target now; undefined if one may. */
    public findRefusalReason(nowMs: number): "leaving" | "pausing" | undefined {
        if (this.evidence !== undefined) {
            return "leaving";
        }
        return this.pause.canStart(nowMs) ? undefined : "pausing";
    }
}
