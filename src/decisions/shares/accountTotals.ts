/**
 * Sums of what accounts asked and got over many routers, and which routers they are over.
 *
 * Load pattern: an account floods a large fleet. Reports from each router to all others grow rarer with their number, and what happened
 * since is each router's own guess. Guesses differ by a factor of two and more, and a flood that asks at every router is
 * let in by those that guess least, while an account at one router has one guess. Summed at one router of each data centre, reports
 * are a fraction of a second old at any size, and all routers decide by the same sums.
 */
import type { AccountUsage } from "./accountUsage.js";

/** A router's report that is part of a sum. */
export interface TotalsMember {
    /** 32-bit hash of the router's id. */
    readonly routerHash: number;
    /** Rises with each report of the router, also over its restarts. */
    readonly sequence: number;
}

/** Sums over the reports of some routers; a single report is the sum over its router. */
export interface AccountTotals {
    readonly members: readonly TotalsMember[];
    /** Mean age of the reports when the sums were made; milliseconds. */
    readonly ageMs: number;
    /** Longest time that a report covers; milliseconds. */
    readonly coveredMs: number;
    readonly accounts: ReadonlyMap<string, AccountUsage>;
}

/** Totals and how long ago they were received. */
export interface ReceivedTotals {
    readonly totals: AccountTotals;
    readonly receivedAtMs: number;
}

/** No router's reports. */
export const emptyTotals: AccountTotals = { members: [], ageMs: 0, coveredMs: 0, accounts: new Map() };

/** Sums up what was received; totals that share a router with earlier ones of the list are left out, as it would count twice. */
export function mergeTotals(received: readonly ReceivedTotals[], nowMs: number): AccountTotals {
    const members = new Map<number, TotalsMember>();
    const accounts = new Map<string, AccountUsage>();
    let ageSum = 0;
    let coveredMs = 0;
    for (const { totals, receivedAtMs } of received) {
        if (totals.members.some(member => members.has(member.routerHash))) {
            continue;
        }
        totals.members.forEach(member => members.set(member.routerHash, member));
        ageSum += (totals.ageMs + nowMs - receivedAtMs) * totals.members.length;
        coveredMs = Math.max(coveredMs, totals.coveredMs);
        addAccounts(accounts, totals.accounts);
    }
    return { members: [...members.values()], ageMs: ageSum / Math.max(1, members.size), coveredMs, accounts };
}

/** The totals without a report that is part of them. */
export function removeReport(totals: AccountTotals, report: AccountTotals): AccountTotals {
    const removed = new Set(report.members.map(member => member.routerHash));
    const accounts = new Map<string, AccountUsage>();
    for (const [account, use] of totals.accounts) {
        const own = report.accounts.get(account);
        accounts.set(account, own === undefined ? use : computeRest(use, own));
    }
    return { ...totals, members: totals.members.filter(member => !removed.has(member.routerHash)), accounts };
}

function addAccounts(sums: Map<string, AccountUsage>, accounts: ReadonlyMap<string, AccountUsage>): void {
    for (const [account, use] of accounts) {
        const before = sums.get(account);
        sums.set(
            account,
            before === undefined
                ? use
                : {
                      asked: before.asked + use.asked,
                      served: before.served + use.served,
                      recentlyServed: before.recentlyServed + use.recentlyServed,
                  },
        );
    }
}

function computeRest(use: AccountUsage, own: AccountUsage): AccountUsage {
    return {
        asked: Math.max(0, use.asked - own.asked),
        served: Math.max(0, use.served - own.served),
        recentlyServed: Math.max(0, use.recentlyServed - own.recentlyServed),
    };
}
