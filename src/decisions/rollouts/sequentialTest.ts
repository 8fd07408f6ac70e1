/**
 * Wald's sequential probability ratio test of a Bernoulli rate (Wald, 1945), with Page's CUSUM (1954) for a rate that rises later.
 *
 * The test may be looked at after each sample: its error rates hold for any number of looks.
 */

/** The two rates that a {@link SequentialTest} tells apart, and how often it may be wrong. */
export interface TestPlan {
    /** Rate of a sound population; 0 to 1. */
    readonly soundRate: number;
    /** Least rate of a faulty one; above `soundRate`. */
    readonly faultyRate: number;
    /** Probability that a sound population is taken for faulty. */
    readonly falseAlarmRate: number;
    /** Probability that a faulty one is taken for sound. */
    readonly missRate: number;
}

/** Log-likelihood ratio of the newest samples from which a fault may have begun: two or three events in a row. */
const leastDoubt = 1.5;

/** What the samples so far show. */
export type TestResult = "sound" | "faulty" | "open";

/** Log-likelihood ratio of so many events among so many samples; above 0 for faulty. */
export function computeLogRatio({ soundRate, faultyRate }: TestPlan, samples: number, events: number): number {
    return (
        events * Math.log(faultyRate / soundRate) + (samples - events) * Math.log((1 - faultyRate) / (1 - soundRate))
    );
}

/** Tests one rate as its samples come in. */
export class SequentialTest {
    /** Over all samples. */
    private logRatio = 0;
    /** Since it was last at 0: a long sound time does not outweigh a fault that begins later. */
    private sinceSound = 0;
    private samples = 0;
    private isFaulty = false;

    /** Takes further samples; `plan` may change as the baseline's rate does. */
    public observe(plan: TestPlan, samples: number, events: number): void {
        const ratio = computeLogRatio(plan, samples, events);
        this.samples += samples;
        this.logRatio += ratio;
        this.sinceSound = Math.max(0, this.sinceSound + ratio);
        this.isFaulty ||= this.sinceSound >= Math.log((1 - plan.missRate) / plan.falseAlarmRate);
    }

    public getResult(plan: TestPlan): TestResult {
        if (this.isFaulty) {
            return "faulty";
        }
        const isShown = this.logRatio <= Math.log(plan.missRate / (1 - plan.falseAlarmRate));
        return isShown && this.sinceSound < leastDoubt ? "sound" : "open";
    }

    /** Whether the samples speak for a sound population, though perhaps not yet with the error rates of the plan. */
    public isLikelySound(leastSamples: number): boolean {
        return !this.isFaulty && this.samples >= leastSamples && this.logRatio < 0 && this.sinceSound < leastDoubt;
    }
}
