/** Samples required before delays are rated. */
export const baselineSamples = 8;
/** A first output counts as slow if it takes longer than this multiple of the expected delay. */
export const slowRatio = 4;
/** A first output indicates a cold start if it takes longer than this multiple of the expected delay. */
export const coldRatio = 10;

/** Fixed cost of a request, expressed as the number of prompt tokens that take the same time. */
const fixedCostTokens = 200;
const minSlowMs = 500;
const minColdMs = 2_000;
const smoothing = 0.02;
/** A sample is limited to this multiple of the expected value. */
const maxSampleRatio = 2;
const falseAlarmRatio = 1.5;

/** How the delay of a first output compares with the target's usual delay. */
export type FirstOutputJudgement = "usual" | "slow" | "cold";

/**
 * The usual time to a target's first output for one class of work: an exponentially weighted mean per prompt token,
 * since an engine processes the prompt before it generates the first token. Without the prompt size, one long prompt
 * among short ones would make the target appear slow.
 *
 * Load pattern: a target loses its cache or reloads weights without reporting it. Its load report lags, but its first
 * output is late at once. Batching alone delays the first output by a factor of two or three, hence the ratio of four
 * for slow. A weight load takes seconds, hence the ratio of ten for cold, with a minimum of two seconds. A late sample
 * moves the mean by two in a hundred at most: with five in a hundred and no limit, two outputs that were five times
 * late were already accepted as usual. A lasting fourfold slowdown is accepted after about seventy requests.
 */
export class FirstOutputBaseline {
    private msPerToken = 0;
    private samples = 0;

    /**
     * Delay from which a first output indicates a cold start, in milliseconds; undefined before there are enough
     * samples.
     */
    public getColdAfterMs(promptTokens: number): number | undefined {
        return this.samples < baselineSamples
            ? undefined
            : Math.max(minColdMs, this.getExpectedMs(promptTokens) * coldRatio);
    }

    public compare(delayMs: number, promptTokens: number): FirstOutputJudgement {
        const coldAfterMs = this.getColdAfterMs(promptTokens);
        if (coldAfterMs === undefined) {
            return "usual";
        }
        if (delayMs > coldAfterMs) {
            return "cold";
        }
        return delayMs > Math.max(minSlowMs, this.getExpectedMs(promptTokens) * slowRatio) ? "slow" : "usual";
    }

    public observe(delayMs: number, promptTokens: number): void {
        this.samples += 1;
        const sample = delayMs / (fixedCostTokens + promptTokens);
        const isSettled = this.samples > baselineSamples;
        const msPerToken = isSettled ? Math.min(sample, this.msPerToken * maxSampleRatio) : sample;
        this.msPerToken += (msPerToken - this.msPerToken) * Math.max(smoothing, 1 / this.samples);
    }

    /** The target was treated as cold but was not, so the expected delay is raised. */
    public recordFalseAlarm(): void {
        this.msPerToken *= falseAlarmRatio;
    }

    private getExpectedMs(promptTokens: number): number {
        return this.msPerToken * (fixedCostTokens + promptTokens);
    }
}
