/**
 * What owners of engines denied just now, so that they are not asked the same for each request.
 *
 * Load pattern: an account beyond its share floods, and nearly all of its requests are denied. Asked for each of them, owners and
 * askers spend more processor time on refusing the flood than on serving anybody, and accounts within their share wait for it.
 * Once several owners have denied the account, its requests that may use no more of an engine are refused until the first of
 * these engines has room. Other accounts are not affected: engines may have room for one that has had less there.
 *
 * Each router remembers for itself, so that an account at one router asks for a fraction of what an account at all of them does. So only
 * a router that is short of processor time remembers.
 */
import { LRUCache } from "lru-cache";

/** Longest time that a denial is remembered; engines that were not asked may have room sooner. Milliseconds. */
const longestMemoryMs = 30;
/** Utilization of the router up to which it asks for each request, and from which on it remembers for the longest time. */
const remembersFrom = 0.5;
const remembersAllFrom = 0.9;
/** Floods are of a few accounts at a time. */
const mostAccounts = 256;

interface Denial {
    readonly mostUse: number;
    readonly untilMs: number;
}

/** Remembers denials of accounts beyond their share at one service. */
export class DenialMemory {
    private readonly denials = new LRUCache<string, Denial>({ max: mostAccounts });

    /**
     * All engines that a request asked for denied it. `roomMs`: until the first of them has room; `utilization`: of the router, 0 to 1.
     */
    public record(account: string, mostUse: number, roomMs: number, utilization: number, nowMs: number): void {
        const memoryMs = Math.min(roomMs, computeMemoryMs(utilization));
        this.denials.set(account, { mostUse, untilMs: nowMs + memoryMs });
    }

    /** How long a request that may use so much of an engine is best refused unasked; milliseconds, 0 if it is not. */
    public computeDeniedMs(account: string, mostUse: number, nowMs: number): number {
        const denial = this.denials.get(account);
        return denial === undefined || mostUse > denial.mostUse ? 0 : Math.max(0, denial.untilMs - nowMs);
    }
}

function computeMemoryMs(utilization: number): number {
    const part = (utilization - remembersFrom) / (remembersAllFrom - remembersFrom);
    return longestMemoryMs * Math.min(1, Math.max(0, part));
}
