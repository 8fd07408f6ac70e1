/**
 * Duration of the slow start after a pause, in milliseconds: it begins with a single send, and responses allow more.
 */
const rampMs = 1_000;
const initialSends = 1;
/**
 * Additional sends for each response. If all queued requests were sent at the end of the pause, they would overload the
 * target again at once.
 */
const sendsPerResponse = 2;

/** A pause that a target requested from this router, and the slow start after it. */
export class TargetPause {
    private untilMs = Number.NEGATIVE_INFINITY;
    private sends = 0;
    private responses = 0;

    /**
     * Records a requested pause. Returns false if the current pause ends later or at the same time. A shorter pause
     * does not end a longer one, because responses may arrive out of order.
     */
    public record(waitMs: number, nowMs: number): boolean {
        if (waitMs <= 0 || nowMs + waitMs <= this.untilMs) {
            return false;
        }
        this.untilMs = nowMs + waitMs;
        this.sends = 0;
        this.responses = 0;
        return true;
    }

    /** Time until the end of the pause in milliseconds; 0 if there is none. */
    public computeRemainingMs(nowMs: number): number {
        return Math.max(0, this.untilMs - nowMs);
    }

    /** Whether a send may start now. */
    public canStart(nowMs: number): boolean {
        if (nowMs < this.untilMs) {
            return false;
        }
        return nowMs >= this.untilMs + rampMs || this.sends < initialSends + this.responses * sendsPerResponse;
    }

    /** Time at which {@link canStart} next changes without further sends or responses; undefined if it does not. */
    public findNextChangeAtMs(nowMs: number): number | undefined {
        return [this.untilMs, this.untilMs + rampMs].find(atMs => atMs > nowMs);
    }

    public recordSend(): void {
        this.sends += 1;
    }

    /** Records that the target accepted a request. */
    public recordResponse(): void {
        this.responses += 1;
    }
}
