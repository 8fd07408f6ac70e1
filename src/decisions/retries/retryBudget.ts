import type { RouterView } from "../limits/coldLimit.js";
/**
 * Retry budget: retries as a share of first tries over the last ten seconds, per account and over the router.
 *
 * Load pattern: an outage that makes much fail at once. Without it every failure is tried up to four times, which turns a
 * fault into four times the load just when there is least capacity (a retry storm), and one account's failing calls
 * use up everyone's retries.
 * Thresholds: the ratio comes from the document; ten seconds span several failure detections; a floor of three retries
 * (ten over the router) lets a quiet account retry at all.
 */
const bucketCount = 10;
const defaultWindowMs = 10_000;

/** Retries that are granted however few first tries there were. */
export interface RetryFloors {
    readonly perAccount: number;
    readonly perRouter: number;
}

const defaultFloors: RetryFloors = { perAccount: 3, perRouter: 10 };

/** Counts tries and retries; grants a retry while within the ratio. */
export class RetryBudget {
    private readonly all: TryWindow;
    private readonly byAccount = new Map<string, TryWindow>();

    /** `windowMs`: span over which tries and retries are compared. */
    public constructor(
        private floors: RetryFloors = defaultFloors,
        private readonly windowMs = defaultWindowMs,
    ) {
        this.all = new TryWindow(windowMs);
    }

    /** Where routers share a budget, each one's floor depends on how many there are. */
    public setFloors(floors: RetryFloors): void {
        this.floors = floors;
    }

    /** Counts a first try. */
    public recordFirstAttempt(clientAccount: string, nowMs: number): void {
        this.all.add(nowMs, "first");
        this.getWindow(clientAccount).add(nowMs, "first");
    }

    /** Takes one retry out of the budget; false when there is none left. */
    public takeRetry(clientAccount: string, ratio: number, nowMs: number): boolean {
        const own = this.getWindow(clientAccount);
        const { perAccount, perRouter } = this.floors;
        if (!own.hasRoom(nowMs, ratio, perAccount) || !this.all.hasRoom(nowMs, ratio, perRouter)) {
            return false;
        }
        own.add(nowMs, "retry");
        this.all.add(nowMs, "retry");
        return true;
    }

    private getWindow(clientAccount: string): TryWindow {
        let window = this.byAccount.get(clientAccount);
        if (window === undefined) {
            window = new TryWindow(this.windowMs);
            this.byAccount.set(clientAccount, window);
        }
        return window;
    }
}

/** Sliding counts in tenths of the window. */
class TryWindow {
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

    public hasRoom(nowMs: number, ratio: number, minRetries: number): boolean {
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

/** Part of the fleet's slack for repeats that the routers hand out; the rest covers views of the fleet that differ. */
const usedSlack = 0.6;

/** One router's part of what the fleet may send once more beyond the ratio. */
export function computeRetryFloors(slack: number, { routerIds, unheard }: RouterView): RetryFloors {
    const perRouter = (slack * usedSlack) / (routerIds.length + unheard);
    return { perAccount: perRouter, perRouter };
}
