/**
 * How many requests one router may send to a version that is not known to be sound.
 *
 * Each router goes by its own requests alone. The sum over all routers then stays below the same part of all requests, whoever
 * joins, ends, freezes, is cut off or sees old news, without a message between them.
 */

/** Part of the exposure that may be given away; the rest covers requests whose sends never arrive. */
const usedShare = 0.8;
/** Part of the slack that the routers divide between them; the rest covers routers that start anew with a full part. */
const usedSlack = 0.3;
/** Requests saved up at most: after a pause the version must not get a burst. */
const mostCredit = 4;

/** Bounds on what a version that may be bad gets. */
export interface ExposureLimit {
    /** Part of the requests for its service. */
    readonly share: number;
    /** Requests on top, over all routers. */
    readonly slack: number;
}

/** One router's budget for one roll-out. */
export class ExposureBudget {
    private credit: number;

    /** `routerCount`: routers that may be there, unheard ones included. */
    public constructor(
        private readonly limit: ExposureLimit,
        routerCount: number,
    ) {
        this.credit = Math.min(1, (limit.slack * usedSlack) / Math.max(1, routerCount));
    }

    /** A request for the service goes to a target, of whichever version. `part`: how much of the budget is to be used, 0 to 1. */
    public recordRequest(part = 1): void {
        this.credit = Math.min(mostCredit, this.credit + this.limit.share * usedShare * part);
    }

    /** Whether the version may get a request now. */
    public get hasCapacity(): boolean {
        return this.credit >= 1;
    }

    /** The version gets one. */
    public recordExposed(): void {
        this.credit -= 1;
    }

    /** Whether as much is saved up as can be. */
    public get isFull(): boolean {
        return this.credit >= mostCredit - 1;
    }

    /** The one that was recorded did not go there. */
    public recordUnsent(): void {
        this.credit = Math.min(mostCredit, this.credit + 1);
    }
}
