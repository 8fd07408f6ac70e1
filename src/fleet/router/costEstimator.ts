import type { EnvironmentDocument } from "../../document/schema.js";
import type { WorkClass, WorkRequest } from "../entities.js";

/** Weight of the newest cost in the running mean: about the last ten requests of a kind count. */
const learningRate = 0.1;

/**
 * Guesses a request's class from its prompt and what like requests cost. A wrong guess costs a place in the wrong queue and
 * nothing more, as the agent decides what starts.
 */
export class CostEstimator {
    private readonly means = new Map<string, number>();

    /** The class that the service's `longFromCost` gives. */
    public estimateClass(request: WorkRequest, document: EnvironmentDocument): WorkClass {
        const service = document.services[request.service];
        return service !== undefined && this.estimate(request) >= service.longFromCost ? "long" : "short";
    }

    /** Takes the cost of an answered request. */
    public recordCost(request: WorkRequest, cost: number): void {
        const key = buildKindKey(request);
        const mean = this.means.get(key) ?? cost;
        this.means.set(key, mean + learningRate * (cost - mean));
    }

    private estimate(request: WorkRequest): number {
        const learned = this.means.get(buildKindKey(request));
        if (learned !== undefined) {
            return learned;
        }
        return request.promptTokens + (request.maxTokens ?? 0);
    }
}

/** Requests of one account and service whose prompt and limit are of one order of magnitude cost about the same. */
function buildKindKey(request: WorkRequest): string {
    const promptSize = Math.round(Math.log2(1 + request.promptTokens));
    const answerSize = request.maxTokens === undefined ? "" : Math.round(Math.log2(1 + request.maxTokens));
    return `${request.service}\n${request.clientAccount}\n${promptSize}\n${answerSize}`;
}
