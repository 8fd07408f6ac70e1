import type { RouterView } from "../limits/coldLimit.js";
/**
 * Retry budget: limits retries to a fraction of the first attempts over the last ten seconds, per account and for the
 * whole router.
 *
 * Load pattern: an outage makes many requests fail at once. Without a budget, every failed request would be sent up to
 * four times, which turns a fault into four times the load when there is least capacity (a retry storm), and one
 * account's failing calls would use up the retries of all accounts.
 *
 * Thresholds: the ratio is set in the document; ten seconds cover several failure detections; a floor of three retries
 * (ten for the whole router) lets an account with little traffic retry at all.
 */
const bucketCount = 10;
const defaultWindowMs = 10_000;

/** Retries that are granted regardless of the number of first attempts. */
export interface RetryFloors {
    readonly perAccount: number;
    readonly perRouter: number;
}

const defaultFloors: RetryFloors = { perAccount: 3, perRouter: 10 };

/** Counts first attempts and retries, and grants a retry while the ratio allows it. */
export class RetryBudget {
    private readonly all: AttemptWindow;
    private readonly byAccount = new Map<string, AttemptWindow>();

    /** `windowMs`: window over which first attempts and retries are counted, in milliseconds. */
    public constructor(
        private floors: RetryFloors = defaultFloors,
        private readonly windowMs = defaultWindowMs,
    ) {
        this.all = new AttemptWindow(windowMs);
    }

    /** Updates the floors. Where routers share a budget, each router's floor depends on the number of routers. */
    public setFloors(floors: RetryFloors): void {
        this.floors = floors;
    }

    public recordFirstAttempt(clientAccount: string, nowMs: number): void {
        this.all.add(nowMs, "first");
        this.getWindow(clientAccount).add(nowMs, "first");
    }

    /** Takes one retry from the budget. Returns false if the budget is used up. */
    public takeRetry(clientAccount: string, ratio: number, nowMs: number): boolean {
        if (!this.hasRetry(clientAccount, ratio, nowMs)) {
            return false;
        }
        this.getWindow(clientAccount).add(nowMs, "retry");
        this.all.add(nowMs, "retry");
        return true;
    }

    /** Whether {@link takeRetry} would grant a retry now. */
    public hasRetry(clientAccount: string, ratio: number, nowMs: number): boolean {
        const { perAccount, perRouter } = this.floors;
        return (
            this.getWindow(clientAccount).hasCapacity(nowMs, ratio, perAccount) &&
            this.all.hasCapacity(nowMs, ratio, perRouter)
        );
    }

    private getWindow(clientAccount: string): AttemptWindow {
        let window = this.byAccount.get(clientAccount);
        if (window === undefined) {
            window = new AttemptWindow(this.windowMs);
            this.byAccount.set(clientAccount, window);
        }
        return window;
    }
}

/** Sliding counts, in buckets of a tenth of the window. */
class AttemptWindow {
    private readonly firsts = new Array<number>(bucketCount).fill(0);
    private readonly retries = new Array<number>(bucketCount).fill(0);
    private readonly bucketMs: number;
    private newestBucket = 0;
    private firstTotal = 0;
    private retryTotal = 0;

    public constructor(windowMs: number) {
        this.bucketMs = windowMs / bucketCount;
    }

    public add(nowMs: number, kind: "first" | "retry"): void {
        this.advance(nowMs);
        const slot = this.newestBucket % bucketCount;
        if (kind === "first") {
            this.firsts[slot] = (this.firsts[slot] ?? 0) + 1;
            this.firstTotal += 1;
        } else {
            this.retries[slot] = (this.retries[slot] ?? 0) + 1;
            this.retryTotal += 1;
        }
    }

    public hasCapacity(nowMs: number, ratio: number, minRetries: number): boolean {
        this.advance(nowMs);
        return this.retryTotal < Math.max(minRetries, ratio * this.firstTotal);
    }

    private advance(nowMs: number): void {
        const bucket = Math.max(this.newestBucket, Math.floor(nowMs / this.bucketMs));
        const steps = Math.min(bucketCount, bucket - this.newestBucket);
        for (let step = 1; step <= steps; step++) {
            const slot = (bucket - steps + step) % bucketCount;
            this.firstTotal -= this.firsts[slot] ?? 0;
            this.retryTotal -= this.retries[slot] ?? 0;
            this.firsts[slot] = 0;
            this.retries[slot] = 0;
        }
        this.newestBucket = bucket;
    }
}

/**
 * Fraction of the fleet's retry slack that is divided among the routers; the rest allows for routers that count
 * different numbers of peers.
 */
const usedSlackFraction = 0.6;

/** This router's part of the retries that the fleet may send beyond the ratio. */
export function computeRetryFloors(slack: number, { routerIds, unheard }: RouterView): RetryFloors {
    const perRouter = (slack * usedSlackFraction) / (routerIds.length + unheard);
    return { perAccount: perRouter, perRouter };
}
