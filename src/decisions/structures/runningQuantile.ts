/** Step on the logarithmic scale after many samples; the quantile adapts to a changed distribution within some dozens of requests. */
const settledStep = 0.15;
const firstStep = 1;

/**
 * A running quantile of non-negative samples in constant memory, by stochastic approximation (Robbins and Monro, 1951) on
 * the logarithm: samples such as costs range over orders of magnitude, and a step on the logarithmic scale is a ratio, independent
 * of the unit.
 */
export class RunningQuantile {
    private logarithm: number | undefined;
    private samples = 0;

    public constructor(private readonly quantile: number) {}

    /** Undefined before the first sample. */
    public get value(): number | undefined {
        return this.logarithm === undefined ? undefined : Math.expm1(this.logarithm);
    }

    public observe(sample: number): void {
        const logarithm = Math.log1p(Math.max(0, sample));
        this.samples += 1;
        if (this.logarithm === undefined) {
            this.logarithm = logarithm;
            return;
        }
        const step = Math.max(settledStep, firstStep / this.samples);
        const distance = logarithm - this.logarithm;
        const change = distance > 0 ? step * this.quantile : -step * (1 - this.quantile);
        // Limited to the sample, so that a series of equal samples converges to exactly their value.
        this.logarithm += Math.abs(change) > Math.abs(distance) ? distance : change;
    }
}
