/**
 * Limits how many requests one router may send to a version that has not been shown to be sound.
 *
 * Each router uses only the number of its own requests. The sum over all routers then stays below the same fraction of
 * all requests, regardless of which routers start, stop, freeze, are partitioned or use stale state, and without
 * messages between them.
 */

/** Fraction of the exposure share that is used; the rest allows for requests that are sent but never arrive. */
const usedShareFraction = 0.8;
/**
 * Fraction of the slack that is divided among the routers; the rest allows for routers that restart with a full part.
 */
const usedSlackFraction = 0.3;
/** Maximum credit in requests, so that the version does not receive a burst after a pause. */
const maxCredit = 4;

/** Limits on the requests to a version that may be faulty. */
export interface ExposureLimit {
    /** Maximum fraction of the requests for its service. */
    readonly share: number;
    /** Additional requests, over all routers. */
    readonly slack: number;
}

/** One router's budget for one roll-out. */
export class ExposureBudget {
    private credit: number;

    /** `routerCount`: number of expected routers, including those that no message was received from. */
    public constructor(
        private readonly limit: ExposureLimit,
        routerCount: number,
    ) {
        this.credit = Math.min(1, (limit.slack * usedSlackFraction) / Math.max(1, routerCount));
    }

    /**
     * Records a request for the service that is sent to a target of any version. `fraction`: part of the budget to use,
     * 0 to 1.
     */
    public recordRequest(fraction = 1): void {
        this.credit = Math.min(maxCredit, this.credit + this.limit.share * usedShareFraction * fraction);
    }

    /** Whether the version may receive a request now. */
    public get hasCapacity(): boolean {
        return this.credit >= 1;
    }

    /** Records that the version receives a request. */
    public recordExposed(): void {
        this.credit -= 1;
    }

    /** Whether the credit is within one request of its maximum. */
    public get isFull(): boolean {
        return this.credit >= maxCredit - 1;
    }

    /** Reverts {@link recordExposed} for a request that was not sent to the version. */
    public recordUnsent(): void {
        this.credit = Math.min(maxCredit, this.credit + 1);
    }
}
