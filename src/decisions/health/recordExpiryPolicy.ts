/**
 * State of a router's connection to the platform's store at the moment the router reads that a target's record was
 * removed. Monotonic times in milliseconds.
 */
export interface StoreContact {
    /**
     * All changes acknowledged before this time had been read, and the removal was not among them. Undefined: nothing
     * had been read.
     */
    readonly coveredUntilMs: number | undefined;
    /** The most recent outage; undefined if there was none. */
    readonly outage: StoreOutage | undefined;
}

/** A period without updates from the store that is long enough for records to expire. */
export interface StoreOutage {
    /** Start of the last call without a reply; the outage ended after this time. */
    readonly lastCallAtMs: number;
    /** The first reply after the outage; undefined while the outage continues. */
    readonly answeredAtMs: number | undefined;
}

/** Time limits that apply to a removal, in milliseconds. */
export interface RemovalBounds {
    /** Maximum time after the store acknowledged a removal during which requests may still reach the target. */
    readonly drainMs: number;
    /** An outage that ended longer ago than this no longer justifies keeping a target. */
    readonly contactMs: number;
    /** Allowance for requests that are in transit. */
    readonly deliveryMs: number;
}

/** What to do with a target whose record was removed. Times in milliseconds. */
export interface RemovalVerdict {
    /** The target may receive requests until this monotonic time. Undefined: treat it as removed. */
    readonly keptUntilMs: number | undefined;
    /** Upper bound of the time since the removal was acknowledged; undefined if unknown. */
    readonly viewAgeMs?: number | undefined;
    /** Time since the start of the last call that an outage left without a reply; undefined if there was no outage. */
    readonly outageAgoMs?: number | undefined;
}

/** Decides whether a target whose record was removed may still be running. */
export interface RecordExpiryPolicy {
    checkRemoval(nowMs: number): RemovalVerdict;
}

/** Treats every removal as a departure of the target. */
export class NoExpiryGrace implements RecordExpiryPolicy {
    public checkRemoval(): RemovalVerdict {
        return { keptUntilMs: undefined };
    }
}

/** Maximum time after the store's recovery until the records of running targets reappear, in milliseconds. */
const maxReappearMs = 2_300;

/**
 * Keeps targets during the time in which records that expired in an outage reappear. If such targets were dropped at
 * once, a whole service could be left without targets.
 *
 * An acknowledged departure looks the same, so a target is kept no longer than is allowed for a departure. The store
 * cannot have acknowledged the departure before the last changes that were read; a departure acknowledged during the
 * outage or before it takes effect when the outage no longer justifies keeping the target.
 */
export class BoundedExpiryGrace implements RecordExpiryPolicy {
    public constructor(
        private readonly getContact: () => StoreContact,
        private readonly bounds: RemovalBounds,
    ) {}

    public checkRemoval(nowMs: number): RemovalVerdict {
        const { coveredUntilMs, outage } = this.getContact();
        const viewAgeMs = coveredUntilMs === undefined ? undefined : nowMs - coveredUntilMs;
        if (outage === undefined) {
            return { keptUntilMs: undefined, viewAgeMs };
        }
        const { drainMs, contactMs, deliveryMs } = this.bounds;
        const effectiveAtMs = Math.max(
            (coveredUntilMs ?? Number.NEGATIVE_INFINITY) + drainMs,
            outage.lastCallAtMs + contactMs,
        );
        const keptUntilMs = Math.min((outage.answeredAtMs ?? nowMs) + maxReappearMs, effectiveAtMs - deliveryMs);
        const outageAgoMs = nowMs - outage.lastCallAtMs;
        return { keptUntilMs: keptUntilMs > nowMs ? keptUntilMs : undefined, viewAgeMs, outageAgoMs };
    }
}
