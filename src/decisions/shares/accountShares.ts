/**
 * Max-min fair shares of the fleet's throughput among client accounts, over a sliding window.
 *
 * Load pattern: one account sends many times its usual, or a few large accounts ask for more than all engines give. Without
 * shares, what is refused for want of capacity hits everybody alike, so the small accounts lose most of the little they
 * ask for. With them, an account that asks for less than the even share gets all of it, and those that ask for more get
 * equal amounts (max-min fairness; Bertsekas and Gallager, Data Networks, 6.5.2).
 *
 * Two figures come of it. The use of the *share* compares what an account got in the window with its part of what the fleet
 * is meant to give: up to it the account is owed service. The use of the *surplus* compares what it got just now with
 * the even level of what the fleet gives in fact, which may be twice as much: without it, what is left over goes to
 * whoever asks most often, and an account that pays back an earlier flood gets nothing beside one that begins its own.
 *
 * Routers report to each other what accounts asked of them and got, so that the sums are the fleet's; what has happened since
 * is estimated ({@link PeerEstimate}).
 */
import type { AccountUsage } from "./accountUsage.js";
import { PeerEstimate, type ReportedAccounts, type OwnSample } from "./peerEstimate.js";
import { WindowedSum } from "../structures/windowedSum.js";

/** One router's accounts. */
export interface RouterAccounts {
    /** Time that the sums cover: the window, or less since the router's first request; milliseconds. */
    readonly coveredMs: number;
    readonly accounts: ReadonlyMap<string, AccountUsage>;
}

/** What another router said of its accounts, and when. */
export interface ReportedRouter extends RouterAccounts, ReportedAccounts {}

/** An account's use of what it may have; 1 is all of it. */
export interface ShareUsage {
    /** Of its fair share of what the fleet is meant to give, over the window or in a burst just now. */
    readonly share: number;
    /** Of the even level of what the fleet gives just now. */
    readonly surplus: number;
    /** Mean age of the other routers' sums that both come of; milliseconds. */
    readonly sumsAgeMs: number;
}

/** An account that has asked for nothing yet. */
export const zeroUsage: ShareUsage = { share: 0, surplus: 0, sumsAgeMs: 0 };

/** Accounts that were quiet for this many windows are forgotten. */
const forgetAfterWindows = 4;
/**
 * Span over which surplus is levelled: long enough that one long prompt does not decide it, and short enough that an
 * account is not held back for what it got seconds ago.
 */
const recentSpanMs = 1_500;
/**
 * What an account got within the recent span counts by this much towards its share. By the window alone, one that was quiet may
 * take a whole window's share at once when it begins to flood, and for that second others beyond their share get
 * nothing. With it an account is beyond its share at 1.25 times its share of the recent span, as the surplus is levelled.
 */
const burstWeight = 0.6;
/** Least time that sums count for: right after a start one prompt would be more than everybody's share. */
const leastCoveredMs = 500;
/** The fleet's sums are made anew this often: going over all routers' accounts for each request costs more than it gains. */
const sumTtlMs = 20;
/** Where callers are can't be told from older sums: an account that has just begun to flood seems to reach this router alone. */
const mostPartAgeMs = 300;
const msPerSecond = 1_000;

/** The level at which capacity is used up when everybody gets at most that much; infinite while capacity suffices. */
export function computeFairLevel(asked: readonly number[], capacity: number): number {
    const sorted = [...asked].sort((a, b) => a - b);
    let left = capacity;
    for (const [index, amount] of sorted.entries()) {
        const even = left / (sorted.length - index);
        if (amount > even) {
            return even;
        }
        left -= amount;
    }
    return Number.POSITIVE_INFINITY;
}

/** Sums over all routers. */
interface FleetSums {
    readonly atMs: number;
    readonly coveredMs: number;
    readonly uses: ReadonlyMap<string, AccountUsage>;
    /** Of this router alone. */
    readonly ownAsked: ReadonlyMap<string, number>;
    readonly recentlyServed: number;
    readonly ageMs: number;
}

/** What accounts may have by sums over all routers; tokens. */
interface FairLevels {
    readonly sums: FleetSums;
    readonly tokensPerSecond: number;
    /** Of what the fleet is meant to give in the window. */
    readonly window: number;
    /** The same of the recent span. */
    readonly recent: number;
    /** Of what the fleet gave in the recent span, or else of what it is meant to give. */
    readonly surplus: number;
}

interface OwnUse {
    readonly asked: WindowedSum;
    readonly served: WindowedSum;
    readonly recent: WindowedSum;
    lastAtMs: number;
}

/** Keeps what this router's accounts asked and got, and compares with the fleet's fair level. */
export class AccountShares {
    private readonly own = new Map<string, OwnUse>();
    private firstAtMs: number | undefined;
    private sums: FleetSums | undefined;
    private levels: FairLevels | undefined;

    public constructor(private readonly windowMs: number) {}

    public recordRequested(account: string, tokens: number, nowMs: number): void {
        this.firstAtMs ??= nowMs;
        this.openAccount(account, nowMs).asked.add(tokens, nowMs);
    }

    /** `tokens` is negative to take back what was counted for a request that then failed. */
    public recordServed(account: string, tokens: number, nowMs: number): void {
        const use = this.openAccount(account, nowMs);
        use.served.add(tokens, nowMs);
        use.recent.add(tokens, nowMs);
    }

    /** What this router's accounts asked and got in the window. */
    public listOwnAccounts(nowMs: number): RouterAccounts {
        const accounts = new Map<string, AccountUsage>();
        for (const [account, use] of this.own) {
            if (nowMs - use.lastAtMs > forgetAfterWindows * this.windowMs) {
                this.own.delete(account);
            } else {
                accounts.set(account, {
                    asked: use.asked.getTotal(nowMs),
                    served: use.served.getTotal(nowMs),
                    recentlyServed: use.recent.getTotal(nowMs),
                });
            }
        }
        const coveredMs = this.firstAtMs === undefined ? 0 : Math.min(this.windowMs, nowMs - this.firstAtMs);
        return { coveredMs, accounts };
    }

    /**
     * How the account stands; above 1 it has had its part.
     * `peers`: what other routers say of the accounts; `tokensPerSecond`: what the fleet is meant to give.
     */
    public computeUsage(
        account: string,
        peers: readonly ReportedRouter[],
        tokensPerSecond: number,
        nowMs: number,
    ): ShareUsage {
        const sums = this.findSums(peers, nowMs);
        const use = sums.uses.get(account);
        if (use === undefined) {
            return zeroUsage;
        }
        const { window, recent, surplus } = this.findLevels(sums, tokensPerSecond);
        return {
            share: Math.max(use.served / window, (use.recentlyServed / recent) * burstWeight),
            surplus: use.recentlyServed / surplus,
            sumsAgeMs: sums.ageMs,
        };
    }

    /** Part of what the account asked the fleet for that it asked this router for, 0 to 1; 0 while too little is known of the others. */
    public computeOwnFraction(account: string): number {
        const { sums } = this;
        const asked = sums?.uses.get(account)?.asked ?? 0;
        return sums === undefined || sums.ageMs > mostPartAgeMs || asked <= 0
            ? 0
            : Math.min(1, (sums.ownAsked.get(account) ?? 0) / asked);
    }

    /** The levels are the same for all accounts until the sums are made anew. */
    private findLevels(sums: FleetSums, tokensPerSecond: number): FairLevels {
        if (this.levels?.sums !== sums || this.levels.tokensPerSecond !== tokensPerSecond) {
            this.levels = computeLevels(sums, tokensPerSecond);
        }
        return this.levels;
    }

    private findSums(peers: readonly ReportedRouter[], nowMs: number): FleetSums {
        if (this.sums === undefined || nowMs - this.sums.atMs >= sumTtlMs) {
            this.sums = this.computeSums(peers, nowMs);
        }
        return this.sums;
    }

    private computeSums(peers: readonly ReportedRouter[], nowMs: number): FleetSums {
        const own = this.listOwnAccounts(nowMs);
        const askedOfThis = [...own.accounts.values()].reduce((sum, use) => sum + use.asked, 0);
        const estimate = new PeerEstimate(peers, { windowMs: this.windowMs, recentMs: recentSpanMs }, askedOfThis);
        const uses = new Map<string, AccountUsage>();
        let recentlyServed = 0;
        for (const name of new Set([...own.accounts.keys(), ...estimate.accounts])) {
            const use = addUses(
                own.accounts.get(name),
                estimate.estimate(name, this.takeSample(name, estimate.meanAgeMs, nowMs)),
            );
            recentlyServed += use.recentlyServed;
            uses.set(name, use);
        }
        // A router that was just started knows little; the others' sums cover their whole window all the same.
        const coveredMs = Math.max(leastCoveredMs, own.coveredMs, ...peers.map(peer => peer.coveredMs));
        const ownAsked = new Map([...own.accounts].map(([name, use]) => [name, use.asked]));
        return { atMs: nowMs, coveredMs, uses, ownAsked, recentlyServed, ageMs: estimate.meanAgeMs };
    }

    private takeSample(account: string, sinceMs: number, nowMs: number): OwnSample {
        const use = this.own.get(account);
        return {
            asked: use?.asked.getTotal(nowMs) ?? 0,
            askedSince: use?.asked.getRecent(sinceMs, nowMs) ?? 0,
            servedSince: use?.served.getRecent(sinceMs, nowMs) ?? 0,
        };
    }

    private openAccount(account: string, nowMs: number): OwnUse {
        let use = this.own.get(account);
        if (use === undefined) {
            use = {
                asked: new WindowedSum(this.windowMs),
                served: new WindowedSum(this.windowMs),
                recent: new WindowedSum(recentSpanMs),
                lastAtMs: nowMs,
            };
            this.own.set(account, use);
        }
        use.lastAtMs = nowMs;
        return use;
    }
}

function computeLevels(sums: FleetSums, tokensPerSecond: number): FairLevels {
    const { coveredMs, uses, recentlyServed } = sums;
    const asked = [...uses.values()].map(use => use.asked);
    const level = computeFairLevel(asked, (tokensPerSecond * coveredMs) / msPerSecond);
    const recentPart = Math.min(1, recentSpanMs / coveredMs);
    const recentLevel = computeFairLevel(
        asked.map(tokens => tokens * recentPart),
        recentlyServed,
    );
    return {
        sums,
        tokensPerSecond,
        window: Math.max(1, level),
        recent: Math.max(1, level * recentPart),
        surplus: Math.max(1, recentLevel, level * recentPart),
    };
}

function addUses(own: AccountUsage | undefined, others: AccountUsage): AccountUsage {
    return {
        asked: others.asked + (own?.asked ?? 0),
        served: others.served + (own?.served ?? 0),
        recentlyServed: others.recentlyServed + (own?.recentlyServed ?? 0),
    };
}
