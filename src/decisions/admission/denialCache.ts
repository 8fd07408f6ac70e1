/**
 * What owners of engines denied just now, so that they are not asked the same for each request.
 *
 * Load pattern: an account beyond its share floods, and nearly all of its requests are denied. Asked for each of them, owners and
 * askers spend more processor time on refusing the flood than on serving anybody, and accounts within their share wait for it.
 * Once several owners have denied the account, its requests that may use no more of an engine are refused until the first of
 * these engines has room. Other accounts are not affected: engines may have room for one that has had less there.
 *
 * Each router remembers for itself. Remembered everywhere for the same time, an account at one router asks for a fraction of what an account
 * at all of them does. So the time is in proportion to the routers that the account reaches, and all accounts ask equally often in
 * the fleet. A router that is short of processor time remembers for the whole time.
 */
import { LRUCache } from "lru-cache";

/** Longest time that a denial is remembered; engines that were not asked may have room sooner. Milliseconds. */
const longestMemoryMs = 30;
/** Utilization from which on a router remembers for longer than the account's reach says, and for the longest time. */
const remembersFrom = 0.5;
const remembersAllFrom = 0.9;
/** Floods are of a few accounts at a time. */
const mostAccounts = 256;

/** The router that remembers, and how much of the account reaches it. */
export interface RequestingRouter {
    /** Part of the time in which it is busy, 0 to 1. */
    readonly utilization: number;
    /** Part of what the account asks the fleet for that it asks this router for, 0 to 1. */
    readonly accountFraction: number;
    /** Routers of the fleet. */
    readonly routerCount: number;
}
/** An account that asks so many times its even part of a router may still be spread over all: parts are estimates. */
const spreadTolerance = 2;

interface Denial {
    readonly mostUse: number;
    readonly untilMs: number;
}

/** Remembers denials of accounts beyond their share at one service. */
export class DenialCache {
    private readonly denials = new LRUCache<string, Denial>({ max: mostAccounts });

    /** All engines that a request asked for denied it; `roomMs`: until the first of them has room. */
    public record(account: string, mostUse: number, roomMs: number, asker: RequestingRouter, nowMs: number): void {
        const memoryMs = Math.min(roomMs, computeMemoryMs(asker));
        this.denials.set(account, { mostUse, untilMs: nowMs + memoryMs });
    }

    /** How long a request that may use so much of an engine is best refused unasked; milliseconds, 0 if it is not. */
    public computeDeniedMs(account: string, mostUse: number, nowMs: number): number {
        const denial = this.denials.get(account);
        return denial === undefined || mostUse > denial.mostUse ? 0 : Math.max(0, denial.untilMs - nowMs);
    }
}

function computeMemoryMs({ utilization, accountFraction: accountPart, routerCount }: RequestingRouter): number {
    const busyPart = Math.min(1, Math.max(0, (utilization - remembersFrom) / (remembersAllFrom - remembersFrom)));
    const reachedPart = Math.min(1, spreadTolerance / Math.max(1, accountPart * routerCount));
    return longestMemoryMs * Math.max(busyPart, reachedPart);
}
