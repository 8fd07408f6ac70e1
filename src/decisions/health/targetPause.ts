/** After a pause sends begin with one, and grow with the answers, for this long; milliseconds. */
const rampMs = 1_000;
const firstSends = 1;
/** Further sends for each answer: all that waited for the end of the pause would overload the target again at once. */
const sendsPerAnswer = 2;

/** A time for which a target wants no requests of this router, and the slow start behind it. */
export class TargetPause {
    private untilMs = Number.NEGATIVE_INFINITY;
    private sends = 0;
    private answers = 0;

    /**
     * Takes the target's wish; false: it wanted nothing for longer already. A shorter wish does not end a longer one: an answer
     * may have been on its way for longer than another.
     */
    public record(waitMs: number, nowMs: number): boolean {
        if (waitMs <= 0 || nowMs + waitMs <= this.untilMs) {
            return false;
        }
        this.untilMs = nowMs + waitMs;
        this.sends = 0;
        this.answers = 0;
        return true;
    }

    /** Time until its end; milliseconds, 0 without one. */
    public computeRemainingMs(nowMs: number): number {
        return Math.max(0, this.untilMs - nowMs);
    }

    /** Whether a send may start now. */
    public canStart(nowMs: number): boolean {
        if (nowMs < this.untilMs) {
            return false;
        }
        return nowMs >= this.untilMs + rampMs || this.sends < firstSends + this.answers * sendsPerAnswer;
    }

    /** When {@link canStart} next changes by time alone; undefined: it does not. */
    public findNextChangeAtMs(nowMs: number): number | undefined {
        return [this.untilMs, this.untilMs + rampMs].find(atMs => atMs > nowMs);
    }

    public recordSend(): void {
        this.sends += 1;
    }

    /** The target took a request. */
    public recordResponse(): void {
        this.answers += 1;
    }
}
