/**
 * Model of a model engine's time to the first event, estimated from previous responses.
 *
 * Load pattern: engines of unknown speed whose reports are old. The time is modelled as a constant (the first steps of
 * generation) plus a time per prompt token to prefill, those of the request itself and those queued before
 * it. Both are fitted by least squares over recent responses, weighted with a half-life of some hundred responses, so that the model
 * follows a slowdown of a service's engines within seconds at usual request rates.
 */

import { RunningQuantile } from "../structures/runningQuantile.js";

/** Prior before enough responses were observed: a current accelerator prefills some ten thousand prompt tokens per second. */
const priorTokensPerMs = 30;
const priorFixedMs = 40;
/** Weight of the prior, as a number of responses; it becomes insignificant after about as many observed responses. */
const priorWeight = 8;
const priorSpreadTokens = 8_000;
const decayPerResponse = 0.995;
/** Quantile of the observed prefill rates that is taken as the prefill speed: the fastest prompts were not delayed by other work. */
const prefillQuantile = 0.9;
/** Prompts shorter than this are ignored for the prefill speed: their time consists mostly of the first steps of generation. */
const minPrefillTokens = 2_000;
/** Bounds that keep the model plausible after a series of unusual responses. */
const tokensPerMsBounds = { min: 2, max: 400 } as const;

/** Estimates the time to the first event of a service's engines. */
export class FirstTokenModel {
    private weight = priorWeight;
    private sumX = priorWeight * priorSpreadTokens;
    private sumY = priorWeight * (priorFixedMs + priorSpreadTokens / priorTokensPerMs);
    private sumXx = priorWeight * 2 * priorSpreadTokens ** 2;
    private readonly prefillRate = new RunningQuantile(prefillQuantile);
    private sumXy = priorWeight * (priorFixedMs * priorSpreadTokens + (2 * priorSpreadTokens ** 2) / priorTokensPerMs);

    /**
     * Records a response. `tokens`: prompt tokens to prefill, queued ones and the request's own; `ownTokens`: the request's own;
     * `durationMs`: time to the first event.
     */
    public observe(tokens: number, ownTokens: number, durationMs: number): void {
        if (ownTokens >= minPrefillTokens) {
            this.prefillRate.observe(ownTokens / Math.max(1, durationMs));
        }
        this.weight = this.weight * decayPerResponse + 1;
        this.sumX = this.sumX * decayPerResponse + tokens;
        this.sumY = this.sumY * decayPerResponse + durationMs;
        this.sumXx = this.sumXx * decayPerResponse + tokens * tokens;
        this.sumXy = this.sumXy * decayPerResponse + tokens * durationMs;
    }

    /**
     * Prefill speed of an engine without other work. Under load a first event is also delayed by prefill between its tokens,
     * so the mean rate underestimates the speed; prompts that were not delayed show the actual speed.
     */
    public get prefillTokensPerMs(): number {
        const rate = this.prefillRate.value ?? priorTokensPerMs;
        return Math.min(tokensPerMsBounds.max, Math.max(tokensPerMsBounds.min, rate));
    }

    /** Mean prefill speed under the current load. */
    public get tokensPerMs(): number {
        const spread = this.sumXx - (this.sumX * this.sumX) / this.weight;
        const slope = (this.sumXy - (this.sumX * this.sumY) / this.weight) / Math.max(1, spread);
        const rate = slope > 0 ? 1 / slope : tokensPerMsBounds.max;
        return Math.min(tokensPerMsBounds.max, Math.max(tokensPerMsBounds.min, rate));
    }

    /** Time to the first event that does not depend on the prompt; milliseconds. */
    public get fixedMs(): number {
        return Math.max(0, (this.sumY - this.sumX / this.tokensPerMs) / this.weight);
    }

    /** Expected time to the first event; milliseconds. `speedFactor`: time per prompt token at the engine relative to this model. */
    public estimateMs(tokens: number, speedFactor = 1): number {
        return this.fixedMs + (tokens * speedFactor) / this.tokensPerMs;
    }
}
