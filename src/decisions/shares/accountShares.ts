/**
 * Max-min fair shares of the fleet's throughput among client accounts, over a sliding window.
 *
 * Load pattern: one account sends many times its usual load, or a few large accounts request more than all engines can
 * serve. Without shares, refusals for lack of capacity affect all accounts alike, so small accounts lose most of the
 * little they request. With shares, an account that requests less than the even share receives all of it, and accounts
 * that request more receive equal amounts (max-min fairness; Bertsekas and Gallager, Data Networks, 6.5.2).
 *
 * Two ratios are computed for each account. The *share* ratio compares what the account was served within the window
 * with its fair share of the fleet's nominal throughput; below 1 the account is entitled to service. The *surplus*
 * ratio compares what the account was served recently with the fair level of the fleet's actual throughput, which may
 * be twice the nominal one. Without the surplus ratio, spare capacity would go to the account with the most requests,
 * and an account that is still compensating for an earlier burst would receive nothing next to one whose burst has just
 * begun.
 *
 * Routers report to each other what accounts requested and were served, so the totals cover the whole fleet. What has
 * happened since the last report is estimated ({@link PeerEstimate}).
 */
import type { AccountUsage } from "./accountUsage.js";
import { PeerEstimate, type ReportedAccounts, type OwnSample } from "./peerEstimate.js";
import { WindowedSum } from "../structures/windowedSum.js";

/** The usage of the client accounts that one router serves. */
export interface RouterAccounts {
    /**
     * Time covered by the counters, in milliseconds: the window, or less if the router's first request is more recent.
     */
    readonly coveredMs: number;
    readonly accounts: ReadonlyMap<string, AccountUsage>;
}

/** The account usage that another router reported, with the age of the report. */
export interface ReportedRouter extends RouterAccounts, ReportedAccounts {}

/** How much of its fair share an account uses; 1 means all of it. */
export interface ShareUsage {
    /**
     * Ratio to the account's fair share of the fleet's nominal throughput, over the window or in a recent burst; the
     * higher of the two.
     */
    readonly share: number;
    /** Ratio to the fair level of the fleet's actual throughput within the recent window. */
    readonly surplus: number;
    /** Mean age of the other routers' reports that both ratios are based on, in milliseconds. */
    readonly sumsAgeMs: number;
}

/** Usage of an account that has not requested anything yet. */
export const zeroUsage: ShareUsage = { share: 0, surplus: 0, sumsAgeMs: 0 };

/** Accounts without activity for this many windows are removed. */
const removeAfterWindows = 4;
/**
 * Window for the surplus ratio, in milliseconds. It is long enough that a single long prompt does not dominate, and
 * short enough that an account is not held back for what it was served seconds ago.
 */
const recentWindowMs = 1_500;
/**
 * Weight of recently served tokens in the share ratio. By the window alone, an account that was inactive could take a
 * whole window's share at once when its burst begins, and for that second other accounts beyond their share would be
 * served nothing. With this weight, the ratio of 0.75 from which requests count as over their share is reached at 1.25
 * times the account's share of the recent window, the window that the surplus ratio uses as well.
 */
const burstWeight = 0.6;
/** Minimum covered time in milliseconds. Directly after a start, a single prompt would exceed every account's share. */
const minCoveredMs = 500;
/**
 * Lifetime of computed fleet totals in milliseconds. Merging all routers' accounts for each request would cost more
 * than the fresher values are worth.
 */
const totalsTtlMs = 20;
/**
 * Maximum age of the totals, in milliseconds, for estimating how an account's requests are spread over routers. With
 * older totals, an account whose burst has just begun appears to use this router only.
 */
const maxFractionAgeMs = 300;
const msPerSecond = 1_000;

/**
 * The fair level: the maximum amount per account at which the capacity is fully used. Infinite while the capacity
 * covers all requested amounts.
 */
export function computeFairLevel(requested: readonly number[], capacity: number): number {
    const sorted = [...requested].sort((a, b) => a - b);
    let remaining = capacity;
    for (const [index, amount] of sorted.entries()) {
        const even = remaining / (sorted.length - index);
        if (amount > even) {
            return even;
        }
        remaining -= amount;
    }
    return Number.POSITIVE_INFINITY;
}

/** Account usage summed over all routers. */
interface FleetTotals {
    readonly atMs: number;
    readonly coveredMs: number;
    readonly usages: ReadonlyMap<string, AccountUsage>;
    /** Requested tokens per account at this router only. */
    readonly ownRequested: ReadonlyMap<string, number>;
    readonly recentlyServed: number;
    readonly ageMs: number;
}

/** Fair levels per account, derived from the totals over all routers, in tokens. */
interface FairLevels {
    readonly totals: FleetTotals;
    readonly tokensPerSecond: number;
    /** Fair level of the nominal throughput over the covered window. */
    readonly window: number;
    /** Fair level of the nominal throughput over the recent window. */
    readonly recent: number;
    /** Fair level of the tokens actually served within the recent window; at least the nominal level `recent`. */
    readonly surplus: number;
}

interface OwnUsage {
    readonly asked: WindowedSum;
    readonly served: WindowedSum;
    readonly recent: WindowedSum;
    lastAtMs: number;
}

/** Records what this router's accounts requested and were served, and compares it with the fleet's fair level. */
export class AccountShares {
    private readonly own = new Map<string, OwnUsage>();
    private firstAtMs: number | undefined;
    private totals: FleetTotals | undefined;
    private levels: FairLevels | undefined;

    public constructor(private readonly windowMs: number) {}

    public recordRequested(account: string, tokens: number, nowMs: number): void {
        this.firstAtMs ??= nowMs;
        this.openAccount(account, nowMs).asked.add(tokens, nowMs);
    }

    /** Records tokens as served. Negative `tokens` revert what was recorded for a request that failed later. */
    public recordServed(account: string, tokens: number, nowMs: number): void {
        const usage = this.openAccount(account, nowMs);
        usage.served.add(tokens, nowMs);
        usage.recent.add(tokens, nowMs);
    }

    /** Lists what this router's accounts requested and were served within the window, and removes inactive accounts. */
    public listOwnAccounts(nowMs: number): RouterAccounts {
        const accounts = new Map<string, AccountUsage>();
        for (const [account, usage] of this.own) {
            if (nowMs - usage.lastAtMs > removeAfterWindows * this.windowMs) {
                this.own.delete(account);
            } else {
                accounts.set(account, {
                    asked: usage.asked.getTotal(nowMs),
                    served: usage.served.getTotal(nowMs),
                    recentlyServed: usage.recent.getTotal(nowMs),
                });
            }
        }
        const coveredMs = this.firstAtMs === undefined ? 0 : Math.min(this.windowMs, nowMs - this.firstAtMs);
        return { coveredMs, accounts };
    }

    /**
     * Computes how much of its fair share the account uses; above 1 it has used up its share. `peers` holds the other
     * routers' reports, `tokensPerSecond` the fleet's nominal throughput.
     */
    public computeUsage(
        account: string,
        peers: readonly ReportedRouter[],
        tokensPerSecond: number,
        nowMs: number,
    ): ShareUsage {
        const totals = this.findTotals(peers, nowMs);
        const usage = totals.usages.get(account);
        if (usage === undefined) {
            return zeroUsage;
        }
        const { window, recent, surplus } = this.findLevels(totals, tokensPerSecond);
        return {
            share: Math.max(usage.served / window, (usage.recentlyServed / recent) * burstWeight),
            surplus: usage.recentlyServed / surplus,
            sumsAgeMs: totals.ageMs,
        };
    }

    /**
     * Fraction of the account's requested tokens in the fleet that this router received, 0 to 1. It is 0 while the
     * other routers' reports are missing or too old.
     */
    public computeOwnFraction(account: string): number {
        const { totals } = this;
        const requested = totals?.usages.get(account)?.asked ?? 0;
        return totals === undefined || totals.ageMs > maxFractionAgeMs || requested <= 0
            ? 0
            : Math.min(1, (totals.ownRequested.get(account) ?? 0) / requested);
    }

    /** The levels are the same for all accounts until the totals are recomputed. */
    private findLevels(totals: FleetTotals, tokensPerSecond: number): FairLevels {
        if (this.levels?.totals !== totals || this.levels.tokensPerSecond !== tokensPerSecond) {
            this.levels = computeLevels(totals, tokensPerSecond);
        }
        return this.levels;
    }

    private findTotals(peers: readonly ReportedRouter[], nowMs: number): FleetTotals {
        if (this.totals === undefined || nowMs - this.totals.atMs >= totalsTtlMs) {
            this.totals = this.computeTotals(peers, nowMs);
        }
        return this.totals;
    }

    private computeTotals(peers: readonly ReportedRouter[], nowMs: number): FleetTotals {
        const own = this.listOwnAccounts(nowMs);
        const requestedHere = [...own.accounts.values()].reduce((sum, usage) => sum + usage.asked, 0);
        const estimate = new PeerEstimate(peers, { windowMs: this.windowMs, recentMs: recentWindowMs }, requestedHere);
        const usages = new Map<string, AccountUsage>();
        let recentlyServed = 0;
        for (const name of new Set([...own.accounts.keys(), ...estimate.accounts])) {
            const usage = addUsage(
                own.accounts.get(name),
                estimate.estimate(name, this.takeSample(name, estimate.meanAgeMs, nowMs)),
            );
            recentlyServed += usage.recentlyServed;
            usages.set(name, usage);
        }
        // A router that has just started has little data of its own, but the other routers' counters cover their whole
        // window.
        const coveredMs = Math.max(minCoveredMs, own.coveredMs, ...peers.map(peer => peer.coveredMs));
        const ownRequested = new Map([...own.accounts].map(([name, usage]) => [name, usage.asked]));
        return {
            atMs: nowMs,
            coveredMs,
            usages,
            ownRequested,
            recentlyServed,
            ageMs: estimate.meanAgeMs,
        };
    }

    private takeSample(account: string, sinceMs: number, nowMs: number): OwnSample {
        const usage = this.own.get(account);
        return {
            asked: usage?.asked.getTotal(nowMs) ?? 0,
            requestedSince: usage?.asked.getRecent(sinceMs, nowMs) ?? 0,
            servedSince: usage?.served.getRecent(sinceMs, nowMs) ?? 0,
        };
    }

    private openAccount(account: string, nowMs: number): OwnUsage {
        let usage = this.own.get(account);
        if (usage === undefined) {
            usage = {
                asked: new WindowedSum(this.windowMs),
                served: new WindowedSum(this.windowMs),
                recent: new WindowedSum(recentWindowMs),
                lastAtMs: nowMs,
            };
            this.own.set(account, usage);
        }
        usage.lastAtMs = nowMs;
        return usage;
    }
}

function computeLevels(totals: FleetTotals, tokensPerSecond: number): FairLevels {
    const { coveredMs, usages, recentlyServed } = totals;
    const requested = [...usages.values()].map(usage => usage.asked);
    const level = computeFairLevel(requested, (tokensPerSecond * coveredMs) / msPerSecond);
    const recentFraction = Math.min(1, recentWindowMs / coveredMs);
    const recentLevel = computeFairLevel(
        requested.map(tokens => tokens * recentFraction),
        recentlyServed,
    );
    return {
        totals,
        tokensPerSecond,
        window: Math.max(1, level),
        recent: Math.max(1, level * recentFraction),
        surplus: Math.max(1, recentLevel, level * recentFraction),
    };
}

function addUsage(own: AccountUsage | undefined, others: AccountUsage): AccountUsage {
    return {
        asked: others.asked + (own?.asked ?? 0),
        served: others.served + (own?.served ?? 0),
        recentlyServed: others.recentlyServed + (own?.recentlyServed ?? 0),
    };
}
