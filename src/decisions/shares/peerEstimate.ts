/**
 * Estimates what accounts have requested and been served at the other routers up to now, based on reports that are some
 * time old.
 *
 * Load pattern: several accounts overload the fleet, and routers balance them by totals that are as old as the last
 * round of messages. For a whole round, all routers admit the account that appears furthest behind; then all find it
 * far ahead and admit another one. Accounts alternate between full service and none, and an account whose burst begins
 * takes all engines until the first round reports it.
 *
 * Each router therefore uses its own traffic as a sample. It assumes that an account continues to send requests to the
 * other routers at the reported rate. Where the account requests more of this router than before, it is assumed to
 * request more of the others too, in proportion to what it requested of them and of this router before, and with the
 * same fraction granted as here. The proportion is computed per account: callers of some accounts reach few routers,
 * and with the proportion of all traffic each of their bursts would be counted many times over. The next message
 * replaces the estimate, so errors do not accumulate.
 */
import type { AccountUsage } from "./accountUsage.js";

/** Account usage that other routers reported. */
export interface ReportedAccounts {
    readonly accounts: ReadonlyMap<string, AccountUsage>;
    /** Time since the report was received, in milliseconds. */
    readonly ageMs: number;
    /** Number of routers that the report covers; 1 if omitted. */
    readonly routerCount?: number;
}

/** What an account requested of this router and was served by it, in tokens. */
export interface OwnSample {
    /** Requested tokens within the window. */
    readonly asked: number;
    /** Requested tokens within the mean age of the other routers' reports. */
    readonly requestedSince: number;
    readonly servedSince: number;
}

/** Lengths of the windows that account usage is summed over, in milliseconds. */
export interface UsageWindows {
    readonly windowMs: number;
    readonly recentMs: number;
}

/** Reported usage, split into the part that is still within its window and the part that has expired by now. */
interface ReportedUsage {
    requestedWithin: number;
    requestedExpired: number;
    servedWithin: number;
    servedExpired: number;
    recentWithin: number;
    recentExpired: number;
}

/** Estimates the usage of accounts at all other routers together. */
export class PeerEstimate {
    private readonly reported = new Map<string, ReportedUsage>();
    /** Mean age of the other routers' reports in milliseconds; 0 if there are no other routers. */
    public readonly meanAgeMs: number;
    private requestedOfPeers = 0;

    /** `requestedOfThis`: tokens that all accounts requested of this router within the window. */
    public constructor(
        peers: readonly ReportedAccounts[],
        private readonly windows: UsageWindows,
        private readonly requestedOfThis: number,
    ) {
        const routerCount = peers.reduce((sum, peer) => sum + (peer.routerCount ?? 1), 0);
        this.meanAgeMs =
            peers.reduce((sum, peer) => sum + peer.ageMs * (peer.routerCount ?? 1), 0) / Math.max(1, routerCount);
        for (const peer of peers) {
            this.addPeer(peer);
        }
    }

    /** Accounts that occur in the other routers' reports. */
    public get accounts(): Iterable<string> {
        return this.reported.keys();
    }

    /** Estimates what the account has requested of the other routers and been served there by now. */
    public estimate(account: string, own: OwnSample): AccountUsage {
        const reported = this.reported.get(account) ?? createReportedUsage();
        if (own.requestedSince <= 0) {
            return {
                asked: reported.requestedWithin + reported.requestedExpired,
                served: reported.servedWithin + reported.servedExpired,
                recentlyServed: reported.recentWithin + reported.recentExpired,
            };
        }
        const requestedHere = this.estimateRequestedHere(own);
        const excess = Math.max(0, own.requestedSince - requestedHere * (this.meanAgeMs / this.windows.windowMs));
        const requestedSince = reported.requestedExpired + excess * this.computePeerRatio(reported, requestedHere);
        const servedSince = requestedSince * (own.servedSince / own.requestedSince);
        const recentFraction = Math.min(1, this.windows.recentMs / this.meanAgeMs);
        return {
            asked: reported.requestedWithin + requestedSince,
            served: reported.servedWithin + servedSince,
            recentlyServed: reported.recentWithin + servedSince * recentFraction,
        };
    }

    private addPeer({ accounts, ageMs }: ReportedAccounts): void {
        const windowFraction = Math.min(1, ageMs / this.windows.windowMs);
        const recentFraction = Math.min(1, ageMs / this.windows.recentMs);
        for (const [account, usage] of accounts) {
            const reported = this.reported.get(account) ?? createReportedUsage();
            reported.requestedWithin += usage.asked * (1 - windowFraction);
            reported.requestedExpired += usage.asked * windowFraction;
            reported.servedWithin += usage.served * (1 - windowFraction);
            reported.servedExpired += usage.served * windowFraction;
            reported.recentWithin += usage.recentlyServed * (1 - recentFraction);
            reported.recentExpired += usage.recentlyServed * recentFraction;
            this.reported.set(account, reported);
            this.requestedOfPeers += usage.asked;
        }
    }

    /**
     * Tokens the account requested of this router within the window of the reports, extrapolated from its rate before
     * the reports.
     */
    private estimateRequestedHere(own: OwnSample): number {
        const beforeMs = this.windows.windowMs - this.meanAgeMs;
        return beforeMs > 0 ? ((own.asked - own.requestedSince) * this.windows.windowMs) / beforeMs : own.asked;
    }

    /** Ratio of what the account requests of the other routers to what it requests of this one. */
    private computePeerRatio(reported: ReportedUsage, requestedHere: number): number {
        const trafficRatio = this.requestedOfPeers / Math.max(1, this.requestedOfThis);
        // The proportion is unknown for an account that requested nothing from this router before.
        return requestedHere > 0
            ? Math.min(trafficRatio, (reported.requestedWithin + reported.requestedExpired) / requestedHere)
            : trafficRatio;
    }
}

function createReportedUsage(): ReportedUsage {
    return {
        requestedWithin: 0,
        requestedExpired: 0,
        servedWithin: 0,
        servedExpired: 0,
        recentWithin: 0,
        recentExpired: 0,
    };
}
