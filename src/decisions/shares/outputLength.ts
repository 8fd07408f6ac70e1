/**
 * Estimates how many tokens requests of one route generate, based on completed requests.
 *
 * Load pattern: callers request a maximum output length that is three times the actual length and more. If the maximum
 * were charged, accounts with short prompts would appear to have used up their share after half of it, and would be
 * refused while no other account is entitled to the capacity.
 */

/** Minimum weight of the newest response; the mean then covers the last several dozen responses. */
const smoothing = 0.02;

/** Running mean of generated tokens per request. */
export class OutputLength {
    private samples = 0;
    private mean = 0;

    /** Records the generated tokens of a complete response. */
    public observe(tokens: number): void {
        this.samples += 1;
        this.mean += (tokens - this.mean) * Math.max(smoothing, 1 / this.samples);
    }

    /** Estimates the tokens that a request will generate, given the maximum that its caller requested. */
    public estimate(maxTokens: number): number {
        return this.samples === 0 ? maxTokens : Math.min(maxTokens, this.mean);
    }
}
