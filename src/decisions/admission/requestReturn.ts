/**
 * Decides which requests a router that is short of processor time returns to their callers, who then reach another router.
 *
 * Load pattern: the balancer spreads callers evenly over routers of unequal size. A small router of a data centre with much demand saturates
 * and accepts no further connections, of any account, while larger routers of the same data centre have spare processor time. Refusing a
 * request with a short Retry-After takes a fraction of the processor time of serving it, and the caller's retry is
 * sent to another router early enough to meet the objective.
 *
 * Requests are returned only as far as the neighbours can take them. Routers that are short themselves share this capacity.
 */
import type { Random } from "../../base/random.js";

/** Load of a router in the own data centre. */
export interface RouterLoad {
    /** Fraction of a core that the router may use. */
    readonly processorShare: number;
    /** Fraction of time in which the router's event loop is busy, 0 to 1. */
    readonly utilization: number;
}

/** Utilization above which some requests are returned; their fraction grows linearly up to the second threshold. */
const returnThreshold = 0.75;
/** Utilization from which the maximum fraction of requests is returned. */
const fullReturnThreshold = 0.95;
/** Upper bound of the returned fraction: a router that returns every request serves none in the processor time that is left. */
const maxReturnFraction = 0.9;
/** Utilization up to which a neighbour takes returned requests; the rest stays free for bursts of its own callers. */
const maxNeighbourUtilization = 0.65;
/** Processor time to serve one request; seconds of a full core. */
const requestServiceSeconds = 0.004;
/** Maximum number of requests that may be returned at once after a time without any; seconds of the neighbours' capacity. */
const burstSeconds = 0.25;
/** Ratio of the largest processor share in the data centre to the own one from which routers count as unequal. */
const unequalRatio = 1.5;
/** Bounds of the delay after which a caller retries at another router: spreads the retries of a burst; milliseconds. */
const retryDelayMs = { min: 20, max: 80 } as const;
const msPerSecond = 1_000;

/** Decides on the return of requests by one router. */
export class RequestReturn {
    private tokens = 0;
    private lastAtMs: number | undefined;

    /** Fraction of new requests that should be returned, 0 to 1. */
    public computeFraction(own: RouterLoad, neighbours: readonly RouterLoad[]): number {
        const largest = Math.max(0, ...neighbours.map(({ processorShare }) => processorShare));
        if (largest < own.processorShare * unequalRatio) {
            return 0;
        }
        const fraction = (own.utilization - returnThreshold) / (fullReturnThreshold - returnThreshold);
        return Math.min(maxReturnFraction, Math.max(0, fraction));
    }

    /** Whether the neighbours have spare processor time for one more returned request, which is then taken. */
    public takeCapacity(neighbours: readonly RouterLoad[], nowMs: number): boolean {
        const perSecond = computeCapacity(neighbours) / requestServiceSeconds;
        const elapsedMs = this.lastAtMs === undefined ? 0 : nowMs - this.lastAtMs;
        this.lastAtMs = nowMs;
        this.tokens = Math.min(
            Math.max(1, perSecond * burstSeconds),
            this.tokens + (perSecond * elapsedMs) / msPerSecond,
        );
        if (perSecond <= 0 || this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}

/** Delay after which the caller of a returned request should retry; milliseconds. */
export function computeReturnDelayMs(random: Random): number {
    return retryDelayMs.min + (retryDelayMs.max - retryDelayMs.min) * random.next();
}

/** The router's part of the neighbours' spare processor time; cores. */
function computeCapacity(neighbours: readonly RouterLoad[]): number {
    let spare = 0;
    let returningRouters = 1;
    for (const { processorShare, utilization } of neighbours) {
        spare += Math.max(0, maxNeighbourUtilization - utilization) * processorShare;
        returningRouters += utilization > returnThreshold ? 1 : 0;
    }
    return spare / returningRouters;
}
