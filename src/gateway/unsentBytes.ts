import type { Clock } from "../base/clock.js";
import type { Logger } from "../base/log.js";
import { UnsentBudget } from "../decisions/limits/unsentBudget.js";
import { SlidingCount } from "../decisions/structures/slidingCount.js";

/** Share of the process's memory for bytes that callers and targets have not read yet. */
const unsentMemoryShare = 0.125;
const bytesPerMb = 1_048_576;
const logWindowMs = 1_000;
/** Maximum log lines per second: a full budget may end hundreds of streams at once. The total in each line shows what was skipped. */
const maxLogLines = 20;
/** Requests without an account count together. */
const noAccount = "";

/** Bounds at which streams are ended: of one stream, of an account's part of the budget, and of the budget. */
export type UnsentBound = "stream" | "account" | "router";

/** Unsent bytes for the metrics. */
export interface UnsentStatistics {
    readonly bytes: number;
    readonly peakBytes: number;
    /** Streams ended since the start, by the bound that was exceeded. */
    readonly ended: Readonly<Record<UnsentBound, number>>;
}

/** A request whose caller or target may leave bytes unread. */
export interface UnsentHolder {
    readonly account: string | undefined;
    /** Bytes that the router holds now. */
    countUnsentBytes(): number;
    /** Closes the connection in the middle of the response. */
    endSlowReader(): void;
}

/** Bounds the bytes that this router holds for slow readers, and ends streams when a bound is exceeded. */
export class UnsentBytes {
    private readonly budget: UnsentBudget<UnsentHolder>;
    private peakBytes = 0;
    private readonly logLines = new SlidingCount(logWindowMs);
    private readonly ended: Record<UnsentBound, number> = { stream: 0, account: 0, router: 0 };

    public constructor(
        private readonly clock: Clock,
        private readonly logger: Logger,
        getMemoryMb: () => number,
    ) {
        this.budget = new UnsentBudget(() => getMemoryMb() * bytesPerMb * unsentMemoryShare);
    }

    public get statistics(): UnsentStatistics {
        return { bytes: this.budget.bytes, peakBytes: this.peakBytes, ended: { ...this.ended } };
    }

    /** Counts a holder's bytes after data was written, and ends streams while a bound is exceeded. */
    public updateAfterWrite(holder: UnsentHolder): void {
        const bytes = holder.countUnsentBytes();
        if (bytes === 0 && this.budget.getBytes(holder) === 0) {
            return;
        }
        this.budget.recordWrite(holder, holder.account ?? noAccount, bytes, this.clock.nowMs());
        this.endStreams();
        this.peakBytes = Math.max(this.peakBytes, this.budget.bytes);
    }

    /** Counts a holder's bytes after its reader took some. */
    public updateAfterProgress(holder: UnsentHolder): void {
        if (this.budget.getBytes(holder) > 0) {
            this.budget.recordProgress(holder, holder.countUnsentBytes(), this.clock.nowMs());
        }
    }

    /** The holder's connections hold nothing any more. */
    public remove(holder: UnsentHolder): void {
        this.budget.remove(holder);
    }

    /** Counts and logs a stream that is ended because of a bound. */
    public recordEnd(account: string | undefined, bytes: number, bound: UnsentBound): void {
        this.ended[bound] += 1;
        const nowMs = this.clock.nowMs();
        if (this.logLines.count(nowMs) < maxLogLines) {
            this.logLines.add(nowMs);
            const { stream, account: ofAccount, router } = this.ended;
            const endedStreams = stream + ofAccount + router;
            const fields = { account, bytes, bound, heldBytes: this.budget.bytes, endedStreams };
            this.logger.write("warn", "stream ended, its reader is too slow", fields);
        }
    }

    private endStreams(): void {
        for (;;) {
            const found = this.budget.findStreamToEnd();
            if (found === undefined) {
                return;
            }
            const { stream, bytes, bound } = found;
            const current = stream.countUnsentBytes();
            // Not every flush is reported. A stream is ended for bytes that it holds now only.
            if (current < bytes) {
                this.budget.recordProgress(stream, current, this.clock.nowMs());
                continue;
            }
            this.budget.remove(stream);
            this.recordEnd(stream.account, bytes, bound);
            stream.endSlowReader();
        }
    }
}
