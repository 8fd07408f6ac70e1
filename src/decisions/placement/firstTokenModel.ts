/**
 * How long a model engine takes to the first event, learnt from what it took before.
 *
 * Load pattern: engines of unknown speed whose reports are old. The time is taken as a fixed part (the first steps of
 * generation) and a part per prompt token that has to be read before, the request's own and those of requests ahead of
 * it: least squares over recent answers, which forget with a half life of some hundred answers, so that a service whose engines slow
 * down is seen within seconds at usual rates.
 */

import { RunningQuantile } from "../structures/runningQuantile.js";

/** Assumed before enough was seen: a current accelerator reads some ten thousand prompt tokens a second. */
const priorTokensPerMs = 30;
const priorFixedMs = 40;
/** Weight of the assumption in answers; gone after about as many real ones. */
const priorWeight = 8;
const priorSpreadTokens = 8_000;
const forgetting = 0.995;
/** Of prompts' reading rates; the fastest ones were held up by nothing. */
const readingQuantile = 0.9;
/** Shorter prompts' times are mostly those of the first steps of generation. */
const leastReadingTokens = 2_000;
/** Bounds that keep a run of odd answers from making the model absurd. */
const tokensPerMsBounds = { least: 2, most: 400 } as const;

/** Learns and predicts the time to the first event of a service's engines. */
export class FirstTokenModel {
    private weight = priorWeight;
    private sumX = priorWeight * priorSpreadTokens;
    private sumY = priorWeight * (priorFixedMs + priorSpreadTokens / priorTokensPerMs);
    private sumXx = priorWeight * 2 * priorSpreadTokens ** 2;
    private readonly readingRate = new RunningQuantile(readingQuantile);
    private sumXy = priorWeight * (priorFixedMs * priorSpreadTokens + (2 * priorSpreadTokens ** 2) / priorTokensPerMs);

    /** `tokens`: prompt tokens that were to be read up to and with the request's own, which has `ownTokens` of them. */
    public observe(tokens: number, ownTokens: number, tookMs: number): void {
        if (ownTokens >= leastReadingTokens) {
            this.readingRate.observe(ownTokens / Math.max(1, tookMs));
        }
        this.weight = this.weight * forgetting + 1;
        this.sumX = this.sumX * forgetting + tokens;
        this.sumY = this.sumY * forgetting + tookMs;
        this.sumXx = this.sumXx * forgetting + tokens * tokens;
        this.sumXy = this.sumXy * forgetting + tokens * tookMs;
    }

    /**
     * How fast an engine reads that does nothing else. Under load a first event also waits for what is read between its tokens,
     * which the mean takes for slow reading; prompts that were held up by nothing show the speed itself.
     */
    public get prefillTokensPerMs(): number {
        const rate = this.readingRate.value ?? priorTokensPerMs;
        return Math.min(tokensPerMsBounds.most, Math.max(tokensPerMsBounds.least, rate));
    }

    public get tokensPerMs(): number {
        const spread = this.sumXx - (this.sumX * this.sumX) / this.weight;
        const slope = (this.sumXy - (this.sumX * this.sumY) / this.weight) / Math.max(1, spread);
        const rate = slope > 0 ? 1 / slope : tokensPerMsBounds.most;
        return Math.min(tokensPerMsBounds.most, Math.max(tokensPerMsBounds.least, rate));
    }

    /** The part that does not depend on the prompt; milliseconds. */
    public get fixedMs(): number {
        return Math.max(0, (this.sumY - this.sumX / this.tokensPerMs) / this.weight);
    }

    public estimateMs(tokens: number): number {
        return this.fixedMs + tokens / this.tokensPerMs;
    }
}
