import type { EnvironmentDocument } from "../../document/schema.js";
import type { WorkClass, WorkRequest } from "../entities.js";

/** Smoothing factor of the exponential moving average: about the last ten requests of a kind contribute. */
const smoothingFactor = 0.1;

/**
 * Estimates a request's class from its prompt and the cost of similar requests. A wrong estimate only puts the request into
 * the wrong queue, because the agent decides which request starts.
 */
export class CostEstimator {
    private readonly means = new Map<string, number>();

    /** Class by the estimated cost: long from the service's `longFromCost`. */
    public estimateClass(request: WorkRequest, document: EnvironmentDocument): WorkClass {
        const service = document.services[request.service];
        return service !== undefined && this.estimate(request) >= service.longFromCost ? "long" : "short";
    }

    /** Updates the average with the cost of a completed request. */
    public recordCost(request: WorkRequest, cost: number): void {
        const key = buildKindKey(request);
        const mean = this.means.get(key) ?? cost;
        this.means.set(key, mean + smoothingFactor * (cost - mean));
    }

    private estimate(request: WorkRequest): number {
        const measuredMean = this.means.get(buildKindKey(request));
        if (measuredMean !== undefined) {
            return measuredMean;
        }
        return request.promptTokens + (request.maxTokens ?? 0);
    }
}

/** Key of requests with similar cost: same account and service, prompt and token limit of the same order of magnitude. */
function buildKindKey(request: WorkRequest): string {
    const promptMagnitude = Math.round(Math.log2(1 + request.promptTokens));
    const outputMagnitude = request.maxTokens === undefined ? "" : Math.round(Math.log2(1 + request.maxTokens));
    return `${request.service}\n${request.clientAccount}\n${promptMagnitude}\n${outputMagnitude}`;
}
