/**
 * What accounts asked of the other routers and got there by now, though those reported it a while ago.
 *
 * Load pattern: several accounts flood, and routers level them by sums that are as old as the last round of messages. All
 * routers let in the account that looks furthest behind, for a whole round; then all find it far ahead and let in
 * another one. Accounts swing between all and nothing, and one that begins to flood has the engines for itself until the
 * first round reports it.
 *
 * So each router takes what it sees itself as a sample. An account goes on asking the others as it did; where it asks this
 * router for more than before, it asks the others for more too, in proportion to what it asked of them and of this router before;
 * and what it asks is granted there as often as here. The proportion is the account's own: callers of some accounts reach few
 * routers, and by the traffic of all accounts each burst of theirs would count many times over. The next message replaces the
 * guess, so errors don't add up.
 */
import type { AccountUsage } from "./accountUsage.js";

/** What another router said of its accounts. */
export interface ReportedAccounts {
    readonly accounts: ReadonlyMap<string, AccountUsage>;
    /** Time since it was received; milliseconds. */
    readonly ageMs: number;
    /** Routers that it is over; 1 when left out. */
    readonly routerCount?: number;
}

/** What an account asked of this router and got, in tokens. */
export interface OwnSample {
    /** Within the window. */
    readonly asked: number;
    /** Within the mean age of what the others said. */
    readonly askedSince: number;
    readonly servedSince: number;
}

/** Spans that an account's sums are over; milliseconds. */
export interface UsageWindows {
    readonly windowMs: number;
    readonly recentMs: number;
}

/** Sums of what was reported, split by whether it still lies within its span or has left it by now. */
interface ReportedUse {
    askedWithin: number;
    askedExpired: number;
    servedWithin: number;
    servedExpired: number;
    recentWithin: number;
    recentExpired: number;
}

/** Estimates accounts' use at all other routers together. */
export class PeerEstimate {
    private readonly reported = new Map<string, ReportedUse>();
    /** Of what the others said; milliseconds; 0 without others. */
    public readonly meanAgeMs: number;
    private askedOfPeers = 0;

    /** `askedOfThis`: tokens that all accounts asked of this router within the window. */
    public constructor(
        peers: readonly ReportedAccounts[],
        private readonly spans: UsageWindows,
        private readonly askedOfThis: number,
    ) {
        const routerCount = peers.reduce((sum, peer) => sum + (peer.routerCount ?? 1), 0);
        this.meanAgeMs =
            peers.reduce((sum, peer) => sum + peer.ageMs * (peer.routerCount ?? 1), 0) / Math.max(1, routerCount);
        for (const peer of peers) {
            this.addPeer(peer);
        }
    }

    /** Accounts that the others named. */
    public get accounts(): Iterable<string> {
        return this.reported.keys();
    }

    /** What the account asked of the others and got by now. */
    public estimate(account: string, own: OwnSample): AccountUsage {
        const reported = this.reported.get(account) ?? createReportedUse();
        if (own.askedSince <= 0) {
            return {
                asked: reported.askedWithin + reported.askedExpired,
                served: reported.servedWithin + reported.servedExpired,
                recentlyServed: reported.recentWithin + reported.recentExpired,
            };
        }
        const askedHere = this.estimateAskedHere(own);
        const excess = Math.max(0, own.askedSince - askedHere * (this.meanAgeMs / this.spans.windowMs));
        const askedSince = reported.askedExpired + excess * this.computePeerRatio(reported, askedHere);
        const servedSince = askedSince * (own.servedSince / own.askedSince);
        const recentPart = Math.min(1, this.spans.recentMs / this.meanAgeMs);
        return {
            asked: reported.askedWithin + askedSince,
            served: reported.servedWithin + servedSince,
            recentlyServed: reported.recentWithin + servedSince * recentPart,
        };
    }

    private addPeer({ accounts, ageMs }: ReportedAccounts): void {
        const windowPart = Math.min(1, ageMs / this.spans.windowMs);
        const recentPart = Math.min(1, ageMs / this.spans.recentMs);
        for (const [account, use] of accounts) {
            const reported = this.reported.get(account) ?? createReportedUse();
            reported.askedWithin += use.asked * (1 - windowPart);
            reported.askedExpired += use.asked * windowPart;
            reported.servedWithin += use.served * (1 - windowPart);
            reported.servedExpired += use.served * windowPart;
            reported.recentWithin += use.recentlyServed * (1 - recentPart);
            reported.recentExpired += use.recentlyServed * recentPart;
            this.reported.set(account, reported);
            this.askedOfPeers += use.asked;
        }
    }

    /** What the account asked of this router in the window that the others reported, at its rate from before they did. */
    private estimateAskedHere(own: OwnSample): number {
        const beforeMs = this.spans.windowMs - this.meanAgeMs;
        return beforeMs > 0 ? ((own.asked - own.askedSince) * this.spans.windowMs) / beforeMs : own.asked;
    }

    /** What the others are asked for by the account, over what this router is. */
    private computePeerRatio(reported: ReportedUse, askedHere: number): number {
        const trafficRatio = this.askedOfPeers / Math.max(1, this.askedOfThis);
        // Of an account that asked nothing here before, the proportion is unknown.
        return askedHere > 0
            ? Math.min(trafficRatio, (reported.askedWithin + reported.askedExpired) / askedHere)
            : trafficRatio;
    }
}

function createReportedUse(): ReportedUse {
    return { askedWithin: 0, askedExpired: 0, servedWithin: 0, servedExpired: 0, recentWithin: 0, recentExpired: 0 };
}
