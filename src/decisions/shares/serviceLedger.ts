/**
 * The replicated service counters of one account, in cost units divided by the account's weight. They only increase
 * (structure of a PN-counter).
 */
export interface ServiceClaim {
    readonly charged: number;
    readonly refunded: number;
    /** Catch-up floor; merged by maximum. */
    readonly lift: number;
}

/** An account's counters as this ledger has charged them, for the exchange. */
export interface AccountCounter extends ServiceClaim {
    readonly clientAccount: string;
}

interface LedgerEntry {
    charged: number;
    refunded: number;
    claimedCharged: number;
    claimedRefunded: number;
    lift: number;
    changedInSequence: number;
    lastActiveAtMs: number;
    /** Own net charges of the current half of the horizon and of the previous half. */
    recentOwn: number;
    previousOwn: number;
    /** Increase of the claims during the current half of the horizon. */
    recentClaimed: number;
    /** Decayed sums of own charges and of claims, for the ratio of the other agents' charges to this agent's. */
    decayedOwn: number;
    decayedClaimed: number;
    othersPerOwn: number;
}

/** An account without queued, running or newly charged work for this long counts as idle; in milliseconds. */
export const idleAfterMs = 2_000;

const ratioDecay = 0.8;
const maxRatio = 256;

const neverActive = Number.NEGATIVE_INFINITY;

/**
 * The normalized service of each account at one service over the whole fleet, as far as one agent has received it.
 *
 * Own service has a single writer, this process; service by other agents is received as claims. A claim is a sum of
 * other agents' counters that only increase, so it is a lower bound of the true value, and the maximum of lower bounds
 * is a lower bound too. Claims may therefore be lost, repeated, reordered, or come from routers that have received
 * different parts of the fleet's state.
 *
 * Load pattern: an account pauses and returns. Without the lift it would return with credit for the pause and block all
 * other accounts until the credit is used up. It is therefore lifted to the least service of the backlogged accounts.
 * The idle time of two seconds is several exchange periods, so that shorter gaps between two requests of a steady
 * caller, or a late claim, do not count as a pause.
 */
export class ServiceLedger {
    private readonly entries = new Map<string, LedgerEntry>();
    private horizonAtMs = neverActive;

    /** Service divided by weight: own and claimed charges less refunds, plus the lift. */
    public getNormalizedService(clientAccount: string): number {
        const entry = this.entries.get(clientAccount);
        return entry === undefined ? 0 : getNet(entry) + entry.lift;
    }

    /**
     * Service including what the other agents have probably charged since their last claims. It determines the order of
     * the queue.
     *
     * Agents with the same state all select the same account as furthest behind, and until the next claims arrive each
     * agent starts that account's requests independently of the others: with weights of 16 to 1 the small account
     * overshoots its fair share many times. Each agent therefore assumes that the others act as it does: own charges
     * that are newer than the last claims are multiplied by the number of charges by others for each charge of this
     * agent for this account. Errors last for one horizon and do not accumulate, because the counters themselves are
     * exact.
     */
    public getExpectedService(clientAccount: string): number {
        const entry = this.entries.get(clientAccount);
        if (entry === undefined) {
            return 0;
        }
        const recent = Math.max(0, entry.recentOwn + entry.previousOwn);
        return getNet(entry) + entry.lift + recent * entry.othersPerOwn;
    }

    /**
     * Advances the horizon of {@link getExpectedService} when half of it has passed. Returns true if expected services
     * changed.
     */
    public advanceHorizon(nowMs: number, horizonMs: number): boolean {
        if (nowMs - this.horizonAtMs < horizonMs / 2) {
            return false;
        }
        this.horizonAtMs = nowMs;
        let own = 0;
        let claimed = 0;
        for (const entry of this.entries.values()) {
            entry.decayedOwn = entry.decayedOwn * ratioDecay + Math.max(0, entry.recentOwn);
            entry.decayedClaimed = entry.decayedClaimed * ratioDecay + entry.recentClaimed;
            entry.previousOwn = entry.recentOwn;
            entry.recentOwn = 0;
            entry.recentClaimed = 0;
            own += entry.decayedOwn;
            claimed += entry.decayedClaimed;
        }
        const averageRatio = own > 0 ? Math.min(maxRatio, claimed / own) : 0;
        for (const entry of this.entries.values()) {
            const ratio = entry.decayedOwn > 0 ? entry.decayedClaimed / entry.decayedOwn : averageRatio;
            entry.othersPerOwn = Math.min(ratio, averageRatio);
        }
        return true;
    }

    /** Adds to an account's own charges. `sequence` is the number of the report that will contain the change. */
    public chargeAccount(clientAccount: string, amount: number, sequence: number): void {
        const entry = this.openEntry(clientAccount);
        entry.charged += amount;
        entry.recentOwn += amount;
        entry.changedInSequence = sequence;
    }

    /** Refunds the part of a charge that was estimated too high. */
    public recordRefund(clientAccount: string, amount: number, sequence: number): void {
        const entry = this.openEntry(clientAccount);
        entry.refunded += amount;
        entry.recentOwn -= amount;
        entry.changedInSequence = sequence;
    }

    /** Merges the charges by other agents. Returns true if the account's normalized service changed. */
    public mergeClaim(clientAccount: string, claim: ServiceClaim, nowMs: number): boolean {
        const entry = this.openEntry(clientAccount);
        const before = getNet(entry) + entry.lift;
        const claimedBefore = entry.claimedCharged - entry.claimedRefunded;
        const isFirst = entry.claimedCharged === 0;
        // The first claim after a restart contains the whole past; only an increase after it shows present activity.
        if (claim.charged > entry.claimedCharged && entry.claimedCharged > 0) {
            entry.lastActiveAtMs = nowMs;
        }
        entry.claimedCharged = Math.max(entry.claimedCharged, claim.charged);
        entry.claimedRefunded = Math.max(entry.claimedRefunded, claim.refunded);
        entry.lift = Math.max(entry.lift, claim.lift);
        entry.recentClaimed += isFirst ? 0 : entry.claimedCharged - entry.claimedRefunded - claimedBefore;
        return getNet(entry) + entry.lift !== before;
    }

    /** Raises an account to a floor of normalized service. Returns true if the account was below the floor. */
    public applyLift(clientAccount: string, floor: number, sequence: number): boolean {
        const entry = this.openEntry(clientAccount);
        const lift = floor - getNet(entry);
        if (!(lift > entry.lift)) {
            return false;
        }
        entry.lift = lift;
        entry.changedInSequence = sequence;
        return true;
    }

    /** Records that the account has queued or running work here. */
    public recordActivity(clientAccount: string, nowMs: number): void {
        this.openEntry(clientAccount).lastActiveAtMs = nowMs;
    }

    /** Whether the account is idle. The caller has to ensure that none of its work is queued or running here. */
    public isIdle(clientAccount: string, nowMs: number): boolean {
        const entry = this.entries.get(clientAccount);
        return entry === undefined || nowMs - entry.lastActiveAtMs > idleAfterMs;
    }

    /**
     * The floor for an account that returns while nothing is queued here: the minimum over recently active accounts or,
     * if the whole fleet is idle, the maximum over all accounts, as start-time fair queueing sets its virtual time at
     * the end of a busy period.
     */
    public getReturnFloor(nowMs: number): number {
        let minService: number | undefined;
        let maxService = 0;
        for (const entry of this.entries.values()) {
            const service = getNet(entry) + entry.lift;
            maxService = Math.max(maxService, service);
            if (nowMs - entry.lastActiveAtMs <= idleAfterMs && (minService === undefined || service < minService)) {
                minService = service;
            }
        }
        return minService ?? maxService;
    }

    /**
     * Minimum and maximum normalized service of the given accounts; undefined if there are none. The estimated charges
     * by other agents are excluded: an account that was lifted by an estimate would keep the excess of the estimate
     * permanently.
     */
    public getRange(clientAccounts: readonly string[]): { readonly min: number; readonly max: number } | undefined {
        let minService = Number.POSITIVE_INFINITY;
        let maxService = Number.NEGATIVE_INFINITY;
        for (const clientAccount of clientAccounts) {
            const service = this.getNormalizedService(clientAccount);
            minService = Math.min(minService, service);
            maxService = Math.max(maxService, service);
        }
        return clientAccounts.length === 0 ? undefined : { min: minService, max: maxService };
    }

    /** Own counters that changed in a report after `sequence`; all counters if it is undefined. */
    public listChangedSince(sequence: number | undefined): readonly AccountCounter[] {
        const changed: AccountCounter[] = [];
        for (const [clientAccount, entry] of this.entries) {
            if (entry.changedInSequence > (sequence ?? 0)) {
                changed.push(createCounter(clientAccount, entry));
            }
        }
        return changed;
    }

    public getCounter(clientAccount: string): AccountCounter | undefined {
        const entry = this.entries.get(clientAccount);
        return entry === undefined ? undefined : createCounter(clientAccount, entry);
    }

    public listAccounts(): readonly string[] {
        return [...this.entries.keys()];
    }

    private openEntry(clientAccount: string): LedgerEntry {
        const existing = this.entries.get(clientAccount);
        if (existing !== undefined) {
            return existing;
        }
        const entry = {
            charged: 0,
            refunded: 0,
            claimedCharged: 0,
            claimedRefunded: 0,
            lift: 0,
            changedInSequence: 0,
            lastActiveAtMs: neverActive,
            recentOwn: 0,
            previousOwn: 0,
            recentClaimed: 0,
            decayedOwn: 0,
            decayedClaimed: 0,
            othersPerOwn: 0,
        };
        this.entries.set(clientAccount, entry);
        return entry;
    }
}

function createCounter(clientAccount: string, entry: LedgerEntry): AccountCounter {
    return { clientAccount, charged: entry.charged, refunded: entry.refunded, lift: entry.lift };
}

function getNet(entry: LedgerEntry): number {
    return entry.charged - entry.refunded + entry.claimedCharged - entry.claimedRefunded;
}
