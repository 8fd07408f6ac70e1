import { RunningQuantile } from "../structures/runningQuantile.js";

/** Cost of one prompt token, which is the cost unit of model services. */
export const promptTokenCost = 1;
/**
 * Cost of one generated token, in prompt tokens. A prompt is processed in parallel, while generation takes one pass
 * over the weights per token; public price lists charge three to five times as much for generated tokens.
 */
export const generatedTokenCost = 4;

/** Generated tokens assumed before any request of the service has completed. */
const priorGeneratedTokens = 256;
/** Duration in milliseconds assumed for a call of a plain service before any call has completed. */
const priorPlainMs = 100;
/**
 * Quantile of the observed amounts that is charged at the start. An undercharge lets an account start more than its
 * share and cannot be reverted; an overcharge is refunded at the end.
 */
const chargedQuantile = 0.9;
const meanSmoothing = 0.05;

/** Properties of a request before it runs; the input of a cost estimate. */
export interface CostHint {
    readonly clientAccount: string;
    readonly service: string;
    readonly kind: "model" | "plain";
    readonly promptTokens: number;
    readonly maxTokens: number | undefined;
}

/** An estimated cost in the service's unit, with the work class derived from it. */
export interface CostEstimate {
    /** Mean cost of similar requests, used for expected waits and the work class. */
    readonly cost: number;
    /** Amount charged at the start; above the mean. */
    readonly charge: number;
    readonly workClass: "short" | "long";
    /** Work class derived from the hint alone. Learned statistics are kept separately for each hint class. */
    readonly hintClass: "short" | "long";
}

/** Cost of a model request, in prompt tokens. */
export function computeModelCost(promptTokens: number, generatedTokens: number): number {
    return promptTokens * promptTokenCost + generatedTokens * generatedTokenCost;
}

/**
 * Estimates what a request will cost from the observed cost of similar requests of the account.
 *
 * Load pattern: costs are known only at the end, and only rough hints are available before. If costs were charged only
 * at the end, an account with long requests could start dozens of them before the first is counted. If the caller's
 * limit (`max_tokens`) were charged, an account that always sets a generous limit would be held back without cause.
 * Running statistics per account, service and class learn the real cost. The service's statistics serve a new account,
 * and a constant serves a new service.
 */
export class CostEstimator {
    private readonly byAccount = new Map<string, AmountStatistics>();
    private readonly byService = new Map<string, AmountStatistics>();

    /** Estimates a request. Costs from `longFromCost` on count as long. */
    public estimate(hint: CostHint, longFromCost: number): CostEstimate {
        const toClass = (cost: number): "short" | "long" => (cost >= longFromCost ? "long" : "short");
        if (hint.kind === "plain") {
            const statistics = this.find(hint, "short");
            const cost = statistics?.mean ?? priorPlainMs;
            return { cost, charge: statistics?.charged ?? cost, workClass: toClass(cost), hintClass: "short" };
        }
        const prior = hint.maxTokens ?? priorGeneratedTokens;
        const hintClass = toClass(computeModelCost(hint.promptTokens, prior));
        const statistics = this.find(hint, hintClass);
        const toCost = (generatedTokens: number): number => {
            const capped = Math.min(generatedTokens, hint.maxTokens ?? Number.POSITIVE_INFINITY);
            return Math.max(1, computeModelCost(hint.promptTokens, capped));
        };
        const cost = toCost(statistics?.mean ?? prior);
        return { cost, charge: toCost(statistics?.charged ?? prior), workClass: toClass(cost), hintClass };
    }

    /** Records the amount of a completed request: generated tokens, or milliseconds for a plain service. */
    public observe(
        hint: Pick<CostHint, "clientAccount" | "service">,
        hintClass: "short" | "long",
        amount: number,
    ): void {
        openStatistics(this.byAccount, `${hint.service}\n${hintClass}\n${hint.clientAccount}`).observe(amount);
        openStatistics(this.byService, `${hint.service}\n${hintClass}`).observe(amount);
    }

    private find(hint: CostHint, hintClass: "short" | "long"): AmountStatistics | undefined {
        const own = this.byAccount.get(`${hint.service}\n${hintClass}\n${hint.clientAccount}`);
        return own ?? this.byService.get(`${hint.service}\n${hintClass}`);
    }
}

/** Running statistics of one kind of request, created with its first sample. */
class AmountStatistics {
    private readonly quantile = new RunningQuantile(chargedQuantile);
    private samples = 0;
    private currentMean = 0;

    public get mean(): number {
        return this.currentMean;
    }

    public get charged(): number {
        return Math.max(this.quantile.value ?? 0, this.currentMean);
    }

    public observe(amount: number): void {
        this.samples += 1;
        this.quantile.observe(amount);
        this.currentMean += (amount - this.currentMean) * Math.max(meanSmoothing, 1 / this.samples);
    }
}

function openStatistics(statisticsByKey: Map<string, AmountStatistics>, key: string): AmountStatistics {
    const existing = statisticsByKey.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const statistics = new AmountStatistics();
    statisticsByKey.set(key, statistics);
    return statistics;
}
