import type { Random } from "../base/random.js";

/** How much of the log's retention may pass before a new snapshot is due. */
export const snapshotAgeShare = 1 / 4;
/** Over how much of the retention the daemons spread their attempts. */
export const snapshotJitterShare = 1 / 16;
/** Records that a reader without state reads at most before a new snapshot is due. */
export const snapshotRecordLimit = 1_000;

/** What is known of the newest snapshot. */
export interface SnapshotStatus {
    /** When the oldest record was appended that a reader without state needs; platform's clock. */
    readonly neededSinceMs: number | undefined;
    readonly recordsSinceSnapshot: number;
    /** This machine's wall clock. */
    readonly wallMs: number;
    /** This process's monotonic clock. */
    readonly nowMs: number;
}

/**
 * Decides when this daemon appends a snapshot. Every daemon may, as none is set aside for it; each waits a random time
 * first and looks again, so that in most rounds one of them writes and the others see its record.
 */
export class SnapshotSchedule {
    private seenNeed: number | undefined;
    private seenAtMs: number | undefined;
    private attemptAtMs: number | undefined;

    public constructor(
        private readonly retentionMs: number,
        private readonly random: Random,
    ) {}

    /** Whether to append one now; call it after every read. */
    public isDue(need: SnapshotStatus): boolean {
        if (this.seenAtMs === undefined || this.seenNeed !== need.neededSinceMs) {
            this.seenNeed = need.neededSinceMs;
            this.seenAtMs = need.nowMs;
            this.attemptAtMs = undefined;
        }
        if (!this.isOld(need, this.seenAtMs)) {
            return false;
        }
        this.attemptAtMs ??= need.nowMs + this.random.next() * this.retentionMs * snapshotJitterShare;
        if (need.nowMs < this.attemptAtMs) {
            return false;
        }
        this.attemptAtMs = undefined;
        return true;
    }

    /** A wall clock that lags would hide the age; what this process has waited itself counts as well. */
    private isOld(need: SnapshotStatus, seenAtMs: number): boolean {
        const ageMs = Math.max(need.wallMs - (need.neededSinceMs ?? need.wallMs), need.nowMs - seenAtMs);
        return ageMs > this.retentionMs * snapshotAgeShare || need.recordsSinceSnapshot > snapshotRecordLimit;
    }
}
