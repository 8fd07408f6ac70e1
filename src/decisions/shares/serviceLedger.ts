/** What is known of one account's service: monotone counters in units over weight (structure of a PN-counter). */
export interface ServiceClaim {
    readonly charged: number;
    readonly refunded: number;
    /** Catch-up floor; merged by maximum. */
    readonly lift: number;
}

/** An account's own counters of this ledger, for the exchange. */
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
    /** Own net charges of this half of the horizon and of the one before. */
    recentOwn: number;
    previousOwn: number;
    /** Rise of the claims in this half of the horizon. */
    recentClaimed: number;
    /** Decayed sums of the same, for the ratio between others and this agent. */
    decayedOwn: number;
    decayedClaimed: number;
    othersPerOwn: number;
}

/** An account with nothing queued, running or newly charged for this long counts as idle; milliseconds. */
export const idleAfterMs = 2_000;

const ratioDecay = 0.8;
const greatestRatio = 256;

const neverActive = Number.NEGATIVE_INFINITY;

/**
 * The normalized service of each account at one service, over the whole fleet, as one agent knows it.
 *
 * Own service has one writer, this process; service given by others arrives as claims. A claim is a sum over other
 * agents of counters that only rise, thus a lower bound of the truth, and the maximum of lower bounds is one too:
 * claims may be lost, repeated, reordered, or come from routers that know different parts of the fleet.
 *
 * Load pattern: an account that rests and returns. Without the lift it would come back with credit for its rest and
 * shut everybody out until that was spent. It is therefore lifted to the least service of those that are backlogged.
 * Two seconds of rest is several exchange periods: shorter gaps between two requests of a steady caller, or a claim
 * that is late, do not look like rest.
 */
export class ServiceLedger {
    private readonly entries = new Map<string, LedgerEntry>();
    private horizonAtMs = neverActive;

    /** Service over weight: own and claimed charges less refunds, plus the lift. */
    public getNormalizedService(clientAccount: string): number {
        const entry = this.entries.get(clientAccount);
        return entry === undefined ? 0 : getNet(entry) + entry.lift;
    }

    /**
     * Service with what others have probably given in the meantime; orders the queue.
     *
     * Agents that share a view all find the same account furthest behind, and until news comes each starts its requests
     * as if alone: with weights of 16 to 1 the small account's overshoot is many times its fair share. Each agent
     * therefore assumes of the others what it does itself: own charges younger than the news count as often as the others
     * charge for this account when this agent charges once. Errors last for one horizon and do not add up, as
     * the counters themselves are exact.
     */
    public getExpectedService(clientAccount: string): number {
        const entry = this.entries.get(clientAccount);
        if (entry === undefined) {
            return 0;
        }
        const recent = Math.max(0, entry.recentOwn + entry.previousOwn);
        return getNet(entry) + entry.lift + recent * entry.othersPerOwn;
    }

    /** Moves the horizon of {@link getExpectedService} on when half of it has passed; true when services changed. */
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
        const usual = own > 0 ? Math.min(greatestRatio, claimed / own) : 0;
        for (const entry of this.entries.values()) {
            const ratio = entry.decayedOwn > 0 ? entry.decayedClaimed / entry.decayedOwn : usual;
            entry.othersPerOwn = Math.min(ratio, usual);
        }
        return true;
    }

    /** Adds to an account's own charges; `sequence` is the number of the report that will carry the change. */
    public chargeAccount(clientAccount: string, amount: number, sequence: number): void {
        const entry = this.openEntry(clientAccount);
        entry.charged += amount;
        entry.recentOwn += amount;
        entry.changedInSequence = sequence;
    }

    /** Gives back what an estimate took too much. */
    public recordRefund(clientAccount: string, amount: number, sequence: number): void {
        const entry = this.openEntry(clientAccount);
        entry.refunded += amount;
        entry.recentOwn -= amount;
        entry.changedInSequence = sequence;
    }

    /** Takes what others have charged; true when the account's normalized service changed. */
    public mergeClaim(clientAccount: string, claim: ServiceClaim, nowMs: number): boolean {
        const entry = this.openEntry(clientAccount);
        const before = getNet(entry) + entry.lift;
        const claimedBefore = entry.claimedCharged - entry.claimedRefunded;
        const isFirst = entry.claimedCharged === 0;
        // The first claim after a restart tells of all times past; only a rise after it shows present activity.
        if (claim.charged > entry.claimedCharged && entry.claimedCharged > 0) {
            entry.lastActiveAtMs = nowMs;
        }
        entry.claimedCharged = Math.max(entry.claimedCharged, claim.charged);
        entry.claimedRefunded = Math.max(entry.claimedRefunded, claim.refunded);
        entry.lift = Math.max(entry.lift, claim.lift);
        entry.recentClaimed += isFirst ? 0 : entry.claimedCharged - entry.claimedRefunded - claimedBefore;
        return getNet(entry) + entry.lift !== before;
    }

    /** Raises an account to a floor of normalized service; true when it lay below. */
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

    /** Notes that the account has work here. */
    public recordActivity(clientAccount: string, nowMs: number): void {
        this.openEntry(clientAccount).lastActiveAtMs = nowMs;
    }

    /** Whether the account has rested; the caller knows that nothing of it is queued or running here. */
    public isIdle(clientAccount: string, nowMs: number): boolean {
        const entry = this.entries.get(clientAccount);
        return entry === undefined || nowMs - entry.lastActiveAtMs > idleAfterMs;
    }

    /**
     * The floor for an account that returns while nothing waits here: the least of the accounts active lately or, in a
     * fleet at rest, the greatest of all, as start-time fair queueing sets its virtual time at the end of a busy period.
     */
    public getReturnFloor(nowMs: number): number {
        let least: number | undefined;
        let greatest = 0;
        for (const entry of this.entries.values()) {
            const service = getNet(entry) + entry.lift;
            greatest = Math.max(greatest, service);
            if (nowMs - entry.lastActiveAtMs <= idleAfterMs && (least === undefined || service < least)) {
                least = service;
            }
        }
        return least ?? greatest;
    }

    /**
     * Least and greatest normalized service of the accounts named; undefined of none. Without what others have probably
     * given: lifted to a guess, an account would keep for good what the guess had too much.
     */
    public getRange(clientAccounts: readonly string[]): { readonly min: number; readonly max: number } | undefined {
        let least = Number.POSITIVE_INFINITY;
        let greatest = Number.NEGATIVE_INFINITY;
        for (const clientAccount of clientAccounts) {
            const service = this.getNormalizedService(clientAccount);
            least = Math.min(least, service);
            greatest = Math.max(greatest, service);
        }
        return clientAccounts.length === 0 ? undefined : { min: least, max: greatest };
    }

    /** Own counters that changed in a report after `sequence`; all when it is undefined. */
    public listChangedSince(sequence: number | undefined): readonly AccountCounter[] {
        const changed: AccountCounter[] = [];
        for (const [clientAccount, entry] of this.entries) {
            if (entry.changedInSequence > (sequence ?? 0)) {
                changed.push(createCounter(clientAccount, entry));
            }
        }
        return changed;
    }

    /** An account's own counter. */
    public getCounter(clientAccount: string): AccountCounter | undefined {
        const entry = this.entries.get(clientAccount);
        return entry === undefined ? undefined : createCounter(clientAccount, entry);
    }

    public listAccounts(): readonly string[] {
        return [...this.entries.keys()];
    }

    private openEntry(clientAccount: string): LedgerEntry {
        const known = this.entries.get(clientAccount);
        if (known !== undefined) {
            return known;
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
