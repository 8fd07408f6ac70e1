/**
 * Wald's sequential probability ratio test of a Bernoulli rate (Wald, 1945), with Page's CUSUM (1954) for a rate that
 * rises later.
 *
 * The test may be evaluated after each sample: its error rates hold for any number of evaluations.
 */

/** The two rates that a {@link SequentialTest} distinguishes, and its permitted error rates. */
export interface TestPlan {
    /** Rate of a sound population, 0 to 1. */
    readonly soundRate: number;
    /** Minimum rate of a faulty population; above `soundRate`. */
    readonly faultyRate: number;
    /** Probability that a sound population is classified as faulty. */
    readonly falseAlarmRate: number;
    /** Probability that a faulty population is classified as sound. */
    readonly missRate: number;
}

/**
 * Log-likelihood ratio of the newest samples from which a fault may have begun, equivalent to two or three consecutive
 * events.
 */
const suspectLogRatio = 1.5;

/** Result of the test for the samples so far. */
export type TestResult = "sound" | "faulty" | "open";

/** Log-likelihood ratio of `events` among `samples`; above 0 if they indicate a faulty population. */
export function computeLogRatio({ soundRate, faultyRate }: TestPlan, samples: number, events: number): number {
    return (
        events * Math.log(faultyRate / soundRate) + (samples - events) * Math.log((1 - faultyRate) / (1 - soundRate))
    );
}

/** Tests one rate incrementally as samples arrive. */
export class SequentialTest {
    /** Log-likelihood ratio of all samples. */
    private logRatio = 0;
    /**
     * Page's cumulative sum: the log-likelihood ratio since it was last at 0, so that a long sound period does not
     * outweigh a fault that begins later.
     */
    private cusum = 0;
    private samples = 0;
    private isFaulty = false;

    /** Adds samples. `plan` may change as the baseline's rate does. */
    public observe(plan: TestPlan, samples: number, events: number): void {
        const ratio = computeLogRatio(plan, samples, events);
        this.samples += samples;
        this.logRatio += ratio;
        this.cusum = Math.max(0, this.cusum + ratio);
        this.isFaulty ||= this.cusum >= Math.log((1 - plan.missRate) / plan.falseAlarmRate);
    }

    public getResult(plan: TestPlan): TestResult {
        if (this.isFaulty) {
            return "faulty";
        }
        const isProvenSound = this.logRatio <= Math.log(plan.missRate / (1 - plan.falseAlarmRate));
        return isProvenSound && this.cusum < suspectLogRatio ? "sound" : "open";
    }

    /** Whether the samples indicate a sound population, possibly not yet with the error rates of the plan. */
    public isLikelySound(minSamples: number): boolean {
        return !this.isFaulty && this.samples >= minSamples && this.logRatio < 0 && this.cusum < suspectLogRatio;
    }
}
