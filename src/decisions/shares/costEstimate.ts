import { RunningQuantile } from "../structures/runningQuantile.js";

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
 * Quantile that is charged at the start. What is charged too little lets an account start more than its turn, and cannot
 * be taken back; what is charged too much comes back at the end.
 */
const chargedQuantile = 0.9;
const meanSmoothing = 0.05;

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
    /** Mean cost of like requests; for expected waits and the class. */
    readonly cost: number;
    /** Charged at the start; above the mean. */
    readonly charge: number;
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
 * whose limit is generous by habit would be held back without cause. Running figures per account, service and class
 * learn the habit; the service's own serve a new account, and a constant a new service.
 */
export class CostEstimator {
    private readonly byAccount = new Map<string, LearnedAmount>();
    private readonly byService = new Map<string, LearnedAmount>();

    /** Estimates a request; `longFromCost` divides short from long. */
    public estimate(hint: CostHint, longFromCost: number): CostEstimate {
        const toClass = (cost: number): "short" | "long" => (cost >= longFromCost ? "long" : "short");
        if (hint.kind === "plain") {
            const known = this.find(hint, "short");
            const cost = known?.mean ?? priorPlainMs;
            return { cost, charge: known?.charged ?? cost, workClass: toClass(cost), hintClass: "short" };
        }
        const prior = hint.maxTokens ?? priorGeneratedTokens;
        const hintClass = toClass(computeModelCost(hint.promptTokens, prior));
        const known = this.find(hint, hintClass);
        const toCost = (generatedTokens: number): number => {
            const capped = Math.min(generatedTokens, hint.maxTokens ?? Number.POSITIVE_INFINITY);
            return Math.max(1, computeModelCost(hint.promptTokens, capped));
        };
        const cost = toCost(known?.mean ?? prior);
        return { cost, charge: toCost(known?.charged ?? prior), workClass: toClass(cost), hintClass };
    }

    /** Learns from a request that ended whole: generated tokens, or milliseconds for a plain service. */
    public observe(
        hint: Pick<CostHint, "clientAccount" | "service">,
        hintClass: "short" | "long",
        amount: number,
    ): void {
        openAmount(this.byAccount, `${hint.service}\n${hintClass}\n${hint.clientAccount}`).observe(amount);
        openAmount(this.byService, `${hint.service}\n${hintClass}`).observe(amount);
    }

    private find(hint: CostHint, hintClass: "short" | "long"): LearnedAmount | undefined {
        const own = this.byAccount.get(`${hint.service}\n${hintClass}\n${hint.clientAccount}`);
        return own ?? this.byService.get(`${hint.service}\n${hintClass}`);
    }
}

/** What was learned of one kind of request; made with its first sample. */
class LearnedAmount {
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

function openAmount(amounts: Map<string, LearnedAmount>, key: string): LearnedAmount {
    const known = amounts.get(key);
    if (known !== undefined) {
        return known;
    }
    const amount = new LearnedAmount();
    amounts.set(key, amount);
    return amount;
}
