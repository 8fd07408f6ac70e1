/**
 * Which requests a router refuses unexamined while it is too slow for all of them.
 *
 * Load pattern: an account floods all routers, and its refused requests take up their processors. Refused at random, an account whose
 * callers reach few routers loses as much of what it asks as the flood does, at every router that it has; accounts whose callers
 * are spread over the fleet get the engines' capacity in its place. So requests of accounts that have had about the even
 * level just now go first, and the others are refused only if that is not enough.
 */
import type { Random } from "../../base/random.js";

/** Weight of the newest request in the part of those that go first. */
const smoothing = 0.02;
/** A part is not known better than this. */
const leastPart = 0.05;
/** From this use of the surplus on an account has had about the even level. */
const evenSurplus = 0.8;

/** Follows how much of a router's load is of accounts that have had about the even level. */
export class FairShedding {
    private firstPart = 0;

    /**
     * Whether to refuse a request. `shedShare`: part of all requests to refuse, 0 to 1; `surplus`: what its account had just now,
     * over the even level; 0 without an account.
     */
    public check(shedShare: number, surplus: number, random: Random): boolean {
        const goesFirst = surplus >= evenSurplus;
        this.firstPart += ((goesFirst ? 1 : 0) - this.firstPart) * smoothing;
        if (shedShare <= 0) {
            return false;
        }
        const part = goesFirst
            ? shedShare / Math.max(leastPart, this.firstPart)
            : (shedShare - this.firstPart) / Math.max(leastPart, 1 - this.firstPart);
        return random.next() < part;
    }
}
