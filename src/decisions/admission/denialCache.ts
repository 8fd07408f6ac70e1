/**
 * Cache of recent denials by engine owners, so that a router doesn't send a grant request for every refused request.
 *
 * Load pattern: an account beyond its share overloads the fleet, and nearly all of its requests are denied. With one grant request for each
 * of them, owners and requesting routers would spend more processor time on denials than on serving requests, and accounts within
 * their share would be delayed. Once several owners have denied the account, further requests whose limit on engine usage is no higher
 * are refused until the first of these engines has capacity. Other accounts are not affected: engines may have capacity for an account
 * that has been served less there.
 *
 * Each router has its own cache. If all routers cached denials for the same time, an account that connects to one router would cause a
 * fraction of the grant requests of an account that connects to all of them. The time is therefore proportional to the number
 * of routers that the account connects to, so that all accounts cause grant requests at the same rate across the fleet. A router short of
 * processor time caches denials for the maximum time.
 */
import { LRUCache } from "lru-cache";

/** Maximum time for which a denial is cached: engines without a recent grant request may have capacity sooner. Milliseconds. */
const maxCacheMs = 30;
/** Utilization from which the requesting router's load extends the cache time. */
const extendedCacheThreshold = 0.5;
/** Utilization from which denials are cached for the maximum time. */
const maxCacheThreshold = 0.9;
/** Maximum number of accounts in the cache; only a few accounts cause an overload at the same time. */
const maxAccounts = 256;

/** Load of the router that requests grants, and the account's traffic on it. */
export interface RequestingRouter {
    /** Fraction of time in which the router's event loop is busy, 0 to 1. */
    readonly utilization: number;
    /** Fraction of the account's requested tokens in the fleet that were requested from this router, 0 to 1. */
    readonly accountFraction: number;
    /** Number of routers in the fleet. */
    readonly routerCount: number;
}
/** Up to this multiple of an even distribution an account counts as spread over all routers, since fractions are estimates. */
const spreadTolerance = 2;

interface Denial {
    readonly maxUsage: number;
    readonly untilMs: number;
}

/** Caches denials, within one service, of accounts beyond their share. */
export class DenialCache {
    private readonly denials = new LRUCache<string, Denial>({ max: maxAccounts });

    /**
     * Records that a request was denied by each owner it was sent to. `maxUsage`: fraction of an engine's limit that the request may use;
     * `capacityMs`: time until the first of the engines has capacity.
     */
    public record(
        account: string,
        maxUsage: number,
        capacityMs: number,
        router: RequestingRouter,
        nowMs: number,
    ): void {
        const cacheMs = Math.min(capacityMs, computeCacheMs(router));
        this.denials.set(account, { maxUsage, untilMs: nowMs + cacheMs });
    }

    /** Time for which a request with this usage limit is to be refused without a grant request; milliseconds, 0 if it is not. */
    public computeDeniedMs(account: string, maxUsage: number, nowMs: number): number {
        const denial = this.denials.get(account);
        return denial === undefined || maxUsage > denial.maxUsage ? 0 : Math.max(0, denial.untilMs - nowMs);
    }
}

function computeCacheMs({ utilization, accountFraction, routerCount }: RequestingRouter): number {
    const loadFraction = Math.min(
        1,
        Math.max(0, (utilization - extendedCacheThreshold) / (maxCacheThreshold - extendedCacheThreshold)),
    );
    const spreadFraction = Math.min(1, spreadTolerance / Math.max(1, accountFraction * routerCount));
    return maxCacheMs * Math.max(loadFraction, spreadFraction);
}
