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
}

/** An account with nothing queued, running or newly charged for this long counts as idle; milliseconds. */
export const idleAfterMs = 2_000;

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

    /** Service over weight: own and claimed charges less refunds, plus the lift. */
    public getNormalizedService(clientAccount: string): number {
        const entry = this.entries.get(clientAccount);
        return entry === undefined ? 0 : getNet(entry) + entry.lift;
    }

    /** Adds to an account's own charges; `sequence` is the number of the report that will carry the change. */
    public chargeAccount(clientAccount: string, amount: number, sequence: number): void {
        const entry = this.openEntry(clientAccount);
        entry.charged += amount;
        entry.changedInSequence = sequence;
    }

    /** Gives back what an estimate took too much. */
    public recordRefund(clientAccount: string, amount: number, sequence: number): void {
        const entry = this.openEntry(clientAccount);
        entry.refunded += amount;
        entry.changedInSequence = sequence;
    }

    /** Takes what others have charged; true when the account's normalized service changed. */
    public mergeClaim(clientAccount: string, claim: ServiceClaim, nowMs: number): boolean {
        const entry = this.openEntry(clientAccount);
        const before = getNet(entry) + entry.lift;
        // The first claim after a restart tells of all times past; only a rise after it shows present activity.
        if (claim.charged > entry.claimedCharged && entry.claimedCharged > 0) {
            entry.lastActiveAtMs = nowMs;
        }
        entry.claimedCharged = Math.max(entry.claimedCharged, claim.charged);
        entry.claimedRefunded = Math.max(entry.claimedRefunded, claim.refunded);
        entry.lift = Math.max(entry.lift, claim.lift);
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
