/** What a router knows of the platform's store when it reads that a target's record is gone; monotonic times, milliseconds. */
export interface StoreContact {
    /** What was acknowledged before had been read; the removal had not. Undefined: nothing had been read. */
    readonly coveredUntilMs: number | undefined;
    /** The last outage; undefined: none. */
    readonly outage: StoreOutage | undefined;
}

/** A time in which the store gave a router no news for long enough that records can have lapsed. */
export interface StoreOutage {
    /** Start of the last call that was not answered: the outage ended after it. */
    readonly lastCallAtMs: number;
    /** The first answer after it; undefined: it goes on. */
    readonly answeredAtMs: number | undefined;
}

/** The bounds that a removal is under; milliseconds. */
export interface RemovalBounds {
    /** After the store acknowledged that a target is gone, nothing may reach it for longer than this. */
    readonly drainMs: number;
    /** An outage that ended so long ago excuses nothing more. */
    readonly contactMs: number;
    /** For requests that are on their way. */
    readonly deliveryMs: number;
}

/** What becomes of a target whose record is gone; milliseconds. */
export interface RemovalVerdict {
    /** Until when it may get requests; monotonic. Undefined: it is gone. */
    readonly keptUntilMs: number | undefined;
    /** The removal was acknowledged no longer ago than this; undefined: not known. */
    readonly viewAgeMs?: number | undefined;
    /** How long ago the last call was begun that an outage left without an answer; undefined: no outage is known. */
    readonly outageAgoMs?: number | undefined;
}

/** Decides whether a target whose record is gone may live all the same. */
export interface RecordExpiryPolicy {
    checkRemoval(nowMs: number): RemovalVerdict;
}

/** Takes every removal for a departure. */
export class NoExpiryGrace implements RecordExpiryPolicy {
    public checkRemoval(): RemovalVerdict {
        return { keptUntilMs: undefined };
    }
}

/** Records of targets that live are back so long after the store's return, at the latest. */
const returnMs = 2_300;

/**
 * Keeps targets for the time in which records that lapsed during an outage come back: dropped at once, a whole service would be
 * without targets. A departure that was acknowledged looks the same, so that it is kept no longer than a departure may be: the
 * store cannot have acknowledged it before what had been read; and what was acknowledged during the outage, or before it, binds
 * from the time at which the outage excuses nothing more.
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
        const bindsAtMs = Math.max(
            (coveredUntilMs ?? Number.NEGATIVE_INFINITY) + drainMs,
            outage.lastCallAtMs + contactMs,
        );
        const keptUntilMs = Math.min((outage.answeredAtMs ?? nowMs) + returnMs, bindsAtMs - deliveryMs);
        const outageAgoMs = nowMs - outage.lastCallAtMs;
        return { keptUntilMs: keptUntilMs > nowMs ? keptUntilMs : undefined, viewAgeMs, outageAgoMs };
    }
}
