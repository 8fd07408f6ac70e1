import { RunningQuantile } from "./runningQuantile.js";

/** Cost of one prompt token; the unit of model services. */
export const promptTokenCost = 1;
/**
 * Cost of one generated token in the same unit. A prompt is worked through in parallel while generation takes one pass
 * over the weights per token, and public price lists ask three to five times as much for generated tokens.
 */
export const generatedTokenCost = 4;

/** Generated tokens assumed before anything of the service has ended. */
const priorGeneratedTokens = 256;
/** Time assumed for a call of a plain service before any has ended; milliseconds. */
const priorPlainMs = 100;
/**
 * Quantile that is charged at the start. Too low an estimate lets an account start many requests before the first
 * counts in full; too high a one only holds it back until the refund. Thus above the median, but not so high that one
 * rare giant sets the estimate for all.
 */
const chargedQuantile = 0.7;

/** What an estimate is made from. */
export interface CostHint {
    readonly clientAccount: string;
    readonly service: string;
    readonly kind: "model" | "plain";
    readonly promptTokens: number;
    readonly maxTokens: number | undefined;
}

/** An estimated cost in the service's unit, with the class that follows from it. */
export interface CostEstimate {
    readonly cost: number;
    readonly workClass: "short" | "long";
    /** What the hint alone suggested; the learned figures are kept apart by it. */
    readonly hintClass: "short" | "long";
}

/** Cost of a model request; a token of the prompt is one unit. */
export function computeModelCost(promptTokens: number, generatedTokens: number): number {
    return promptTokens * promptTokenCost + generatedTokens * generatedTokenCost;
}

/**
 * Estimates what a request will cost, from what the account's like requests cost.
 *
 * Load pattern: costs known only at the end, with rough hints before. Charged only at the end, an account with long
 * requests could start dozens before the first is counted. Charged by the caller's limit (`max_tokens`), an account
 * whose limit is generous by habit would be held back without cause. A running quantile per account, service and class
 * learns the habit; the service's own quantile serves a new account, and a constant a new service.
 */
export class CostEstimator {
    private readonly byAccount = new Map<string, RunningQuantile>();
    private readonly byService = new Map<string, RunningQuantile>();

    /** Estimates a request; `longFromCost` divides short from long. */
    public estimate(hint: CostHint, longFromCost: number): CostEstimate {
        if (hint.kind === "plain") {
            const cost = this.getQuantile(hint, "short") ?? priorPlainMs;
            return { cost, workClass: cost >= longFromCost ? "long" : "short", hintClass: "short" };
        }
        const most = computeModelCost(hint.promptTokens, hint.maxTokens ?? priorGeneratedTokens);
        const hintClass = most >= longFromCost ? "long" : "short";
        const generated = this.getQuantile(hint, hintClass) ?? hint.maxTokens ?? priorGeneratedTokens;
        const capped = Math.min(generated, hint.maxTokens ?? Number.POSITIVE_INFINITY);
        const cost = Math.max(1, computeModelCost(hint.promptTokens, capped));
        return { cost, workClass: cost >= longFromCost ? "long" : "short", hintClass };
    }

    /** Learns from a request that ended whole: generated tokens, or milliseconds for a plain service. */
    public observe(
        hint: Pick<CostHint, "clientAccount" | "service">,
        hintClass: "short" | "long",
        amount: number,
    ): void {
        openQuantile(this.byAccount, `${hint.service}\n${hintClass}\n${hint.clientAccount}`).observe(amount);
        openQuantile(this.byService, `${hint.service}\n${hintClass}`).observe(amount);
    }

    private getQuantile(hint: CostHint, hintClass: "short" | "long"): number | undefined {
        const own = this.byAccount.get(`${hint.service}\n${hintClass}\n${hint.clientAccount}`);
        return (own ?? this.byService.get(`${hint.service}\n${hintClass}`))?.value;
    }
}

function openQuantile(quantiles: Map<string, RunningQuantile>, key: string): RunningQuantile {
    const known = quantiles.get(key);
    if (known !== undefined) {
        return known;
    }
    const quantile = new RunningQuantile(chargedQuantile);
    quantiles.set(key, quantile);
    return quantile;
}
