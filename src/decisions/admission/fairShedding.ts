/**
 * Load shedding: selects the requests that an overloaded router refuses without processing them.
 *
 * Load pattern: an account overloads all routers, and refusing its requests takes up their processor time. If requests were refused at
 * random, an account that connects to a few routers would lose as large a fraction of its requests as the overloading account, at each
 * of its routers, and accounts spread over the fleet would be served the engine capacity instead. Requests of
 * accounts that were recently served about the fair level are therefore refused first, and others only if that is not enough.
 */
import type { Random } from "../../base/random.js";

/** Weight of the newest request in the smoothed fraction of requests that are shed first. */
const smoothing = 0.02;
/** Lower bound of the measured fractions, which are not more accurate than this. */
const minFraction = 0.05;
/** Surplus usage from which an account counts as served about the fair level. */
const fairLevelThreshold = 0.8;

/** Measures the fraction of a router's requests that is shed first, and decides which requests to refuse. */
export class FairShedding {
    private shedFirstFraction = 0;

    /**
     * Whether to refuse a request. `shedShare`: fraction of all requests to refuse, 0 to 1; `surplus`: recently served tokens of the
     * request's account, divided by the fair level; 0 without an account.
     */
    public check(shedShare: number, surplus: number, random: Random): boolean {
        const isShedFirst = surplus >= fairLevelThreshold;
        this.shedFirstFraction += ((isShedFirst ? 1 : 0) - this.shedFirstFraction) * smoothing;
        if (shedShare <= 0) {
            return false;
        }
        const probability = isShedFirst
            ? shedShare / Math.max(minFraction, this.shedFirstFraction)
            : (shedShare - this.shedFirstFraction) / Math.max(minFraction, 1 - this.shedFirstFraction);
        return random.next() < probability;
    }
}
