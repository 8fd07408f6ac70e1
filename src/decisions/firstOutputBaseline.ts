/** Samples before the baseline judges anything. */
export const baselineSamples = 8;
/** Times the baseline from which a first output is slow. */
export const slowRatio = 4;
/** Times the baseline from which it is a sign of a cold start. */
export const coldRatio = 10;

const leastSlowMs = 500;
const leastColdMs = 2_000;
const smoothing = 0.05;

/** How a first output compares with what the target usually does. */
export type FirstOutputJudgement = "usual" | "slow" | "cold";

/**
 * The usual time to a target's first output for one class of work: an exponentially weighted mean.
 *
 * Load pattern: a target that loses its cache or reloads weights without a word. Its load report lags, but its first
 * output is late at once. Batching alone moves the first output by two or three times, hence the ratio of four for slow;
 * a weight load takes seconds, hence ten times and never under two seconds for cold. The small smoothing factor keeps
 * one bad minute from becoming the new usual before it is noticed, yet a lasting change is accepted after some dozens.
 */
export class FirstOutputBaseline {
    private mean = 0;
    private samples = 0;

    /** Delay from which a first output is a sign of cold; undefined before enough samples. */
    public get coldAfterMs(): number | undefined {
        return this.samples < baselineSamples ? undefined : Math.max(leastColdMs, this.mean * coldRatio);
    }

    public compare(delayMs: number): FirstOutputJudgement {
        const coldAfterMs = this.coldAfterMs;
        if (coldAfterMs === undefined) {
            return "usual";
        }
        if (delayMs > coldAfterMs) {
            return "cold";
        }
        return delayMs > Math.max(leastSlowMs, this.mean * slowRatio) ? "slow" : "usual";
    }

    public observe(delayMs: number): void {
        this.samples += 1;
        this.mean += (delayMs - this.mean) * Math.max(smoothing, 1 / this.samples);
    }
}
