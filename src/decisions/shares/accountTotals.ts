/**
 * Account usage summed over several routers, with the list of routers whose reports are included.
 *
 * Load pattern: an account overloads a large fleet. The more routers there are, the less often each of them reports to
 * all others, and what has happened since is estimated by each router on its own. These estimates differ by a factor of
 * two and more. An account that sends to every router is admitted by those with the lowest estimates, while an account
 * at one router depends on one estimate. When one router of each data centre sums up the reports, they are a fraction
 * of a second old at any fleet size, and all routers decide by the same totals.
 */
import type { AccountUsage } from "./accountUsage.js";

/** Identifies a router's report that is included in totals. */
export interface TotalsMember {
    /** 32-bit hash of the router's id. */
    readonly routerHash: number;
    /** Increases with each report of the router, also across restarts. */
    readonly sequence: number;
}

/** Usage summed over the reports of some routers; a single report counts as the totals of its router. */
export interface AccountTotals {
    readonly members: readonly TotalsMember[];
    /** Mean age of the reports when the totals were computed, in milliseconds. */
    readonly ageMs: number;
    /** Longest time covered by any of the reports, in milliseconds. */
    readonly coveredMs: number;
    readonly accounts: ReadonlyMap<string, AccountUsage>;
}

/** Totals with the time at which they were received. */
export interface ReceivedTotals {
    readonly totals: AccountTotals;
    readonly receivedAtMs: number;
}

/** Totals without any reports. */
export const emptyTotals: AccountTotals = { members: [], ageMs: 0, coveredMs: 0, accounts: new Map() };

/**
 * Adds up received totals. Totals that share a router with earlier ones in the list are skipped, because that router
 * would be counted twice.
 */
export function mergeTotals(received: readonly ReceivedTotals[], nowMs: number): AccountTotals {
    const members = new Map<number, TotalsMember>();
    const accounts = new Map<string, AccountUsage>();
    let totalAgeMs = 0;
    let coveredMs = 0;
    for (const { totals, receivedAtMs } of received) {
        if (totals.members.some(member => members.has(member.routerHash))) {
            continue;
        }
        totals.members.forEach(member => members.set(member.routerHash, member));
        totalAgeMs += (totals.ageMs + nowMs - receivedAtMs) * totals.members.length;
        coveredMs = Math.max(coveredMs, totals.coveredMs);
        addAccounts(accounts, totals.accounts);
    }
    return { members: [...members.values()], ageMs: totalAgeMs / Math.max(1, members.size), coveredMs, accounts };
}

/** Subtracts a report that is included in the totals. */
export function removeReport(totals: AccountTotals, report: AccountTotals): AccountTotals {
    const removed = new Set(report.members.map(member => member.routerHash));
    const accounts = new Map<string, AccountUsage>();
    for (const [account, usage] of totals.accounts) {
        const own = report.accounts.get(account);
        accounts.set(account, own === undefined ? usage : computeRemainder(usage, own));
    }
    return { ...totals, members: totals.members.filter(member => !removed.has(member.routerHash)), accounts };
}

function addAccounts(accountTotals: Map<string, AccountUsage>, accounts: ReadonlyMap<string, AccountUsage>): void {
    for (const [account, usage] of accounts) {
        const before = accountTotals.get(account);
        accountTotals.set(
            account,
            before === undefined
                ? usage
                : {
                      asked: before.asked + usage.asked,
                      served: before.served + usage.served,
                      recentlyServed: before.recentlyServed + usage.recentlyServed,
                  },
        );
    }
}

function computeRemainder(usage: AccountUsage, own: AccountUsage): AccountUsage {
    return {
        asked: Math.max(0, usage.asked - own.asked),
        served: Math.max(0, usage.served - own.served),
        recentlyServed: Math.max(0, usage.recentlyServed - own.recentlyServed),
    };
}
