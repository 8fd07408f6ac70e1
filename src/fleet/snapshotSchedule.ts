import type { Random } from "../base/random.js";

/** Maximum age of the oldest needed record before a snapshot is due, as a share of the log's retention. */
export const snapshotAgeShare = 1 / 4;
/** Share of the log's retention over which daemons randomize their attempts. */
export const snapshotJitterShare = 1 / 16;
/** Maximum number of records since the last snapshot before a new one is due. */
export const snapshotRecordLimit = 1_000;

/** Age of the records that a reader without state needs, and the current time. */
export interface SnapshotStatus {
    /** Append time of the oldest record that a reader without state needs; platform's clock. */
    readonly neededSinceMs: number | undefined;
    readonly recordsSinceSnapshot: number;
    /** Current wall-clock time of this machine. */
    readonly wallMs: number;
    /** Current monotonic time of this process. */
    readonly nowMs: number;
}

/**
 * Decides when this daemon appends a snapshot. Any daemon may write one; none is dedicated to it. Each first waits
 * for a random time and then checks again, so that usually one daemon writes and the others read its record.
 */
export class SnapshotSchedule {
    private seenNeededSinceMs: number | undefined;
    private seenAtMs: number | undefined;
    private attemptAtMs: number | undefined;

    public constructor(
        private readonly retentionMs: number,
        private readonly random: Random,
    ) {}

    /** Whether to append a snapshot now; call this after every read. */
    public isDue(status: SnapshotStatus): boolean {
        if (this.seenAtMs === undefined || this.seenNeededSinceMs !== status.neededSinceMs) {
            this.seenNeededSinceMs = status.neededSinceMs;
            this.seenAtMs = status.nowMs;
            this.attemptAtMs = undefined;
        }
        if (!this.isOld(status, this.seenAtMs)) {
            return false;
        }
        this.attemptAtMs ??= status.nowMs + this.random.next() * this.retentionMs * snapshotJitterShare;
        if (status.nowMs < this.attemptAtMs) {
            return false;
        }
        this.attemptAtMs = undefined;
        return true;
    }

    /** Also counts the time measured by this process, as a wall clock that is behind would hide a record's age. */
    private isOld(status: SnapshotStatus, seenAtMs: number): boolean {
        const ageMs = Math.max(status.wallMs - (status.neededSinceMs ?? status.wallMs), status.nowMs - seenAtMs);
        return ageMs > this.retentionMs * snapshotAgeShare || status.recordsSinceSnapshot > snapshotRecordLimit;
    }
}
