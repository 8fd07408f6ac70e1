/**
 * Allowance for requests beyond their account's share: an addition to the fraction of one engine's limit that they may use, kept by
 * the engine's owner.
 *
 * Load pattern: all overloading accounts are far above the fair level, for example because their bursts of some seconds alternate. The
 * fraction that such an account may use falls with its surplus and reaches zero at a third above the level, however little of the
 * engine's limit is granted, so that requests are refused while engines are idle. The allowance rises until the requests that are
 * denied by their fraction fill the engine. It is the same for all accounts at the engine: accounts with a smaller surplus keep the
 * larger fraction and are admitted first, so that accounts are levelled by what the engine can prefill.
 *
 * Integral control of the granted fraction of the limit. An account within its share is never denied for the sake of the others: its
 * denial halves the allowance. That of an account below the fair level ends it for a time: at an engine that is filled to the target, the
 * accounts with the most requests would otherwise get what is left, and long prompts would never fit.
 */

/** Granted fraction of the limit up to which the allowance rises; above it, it falls. */
const targetUsage = 0.85;
/** Maximum allowance. */
export const maxAllowance = 3;
/** Lowest fraction of the limit that routers send for an account beyond its share; the allowance is added to it. */
export const minSentUsage = -maxAllowance;
/** Time in which the allowance rises from zero to its maximum at an idle engine; milliseconds. */
const riseMs = 1_000;
/**
 * Free fraction of the limit from which the allowance rises at the maximum rate. In proportion to all that is free, it would rise too slowly near
 * the target. At the maximum rate up to the target, it would still be high when the burst of another account begins, which could then take
 * more than twice what others get.
 */
const fullRateFree = 0.5;
/** The allowance falls faster than it rises: queues that it caused delay requests of accounts within their share. */
const fallFactor = 2;
/**
 * Time in which the allowance falls from its maximum to zero while no request is denied by its fraction; milliseconds. Otherwise the next
 * burst would begin with the allowance of the last one, and would not be levelled for the time of the fall.
 */
const releaseMs = 2_000;
/** Factor at the denial of a request within its account's share. */
const withinShareDenialFactor = 0.5;
/**
 * Time after the denial of a request below the fair level in which there is no allowance; milliseconds. Each engine denies such an account only
 * a few times a second, and in between the accounts above the level would fill it again.
 */
const belowLevelHoldMs = 300;

/**
 * A denial that changes the allowance: of a request of an account within its share, or beyond it and below the fair level, or of one above the
 * level because of its fraction.
 */
export type SpareDenial = "over-share" | "below-level" | "within-share";

/** Computes the allowance of one engine. */
export class SpareAllowance {
    private allowance = 0;
    private updatedAtMs: number | undefined;
    private overShareDeniedAtMs = Number.NEGATIVE_INFINITY;
    private heldUntilMs = Number.NEGATIVE_INFINITY;

    /** Addition to the fraction of the limit, 0 to 3. */
    public get current(): number {
        return this.allowance;
    }

    /** Updates the allowance for the time since the last call. `usage`: granted fraction of the limit within the window. */
    public update(usage: number, windowMs: number, nowMs: number): void {
        const elapsedMs = Math.max(0, nowMs - (this.updatedAtMs ?? nowMs));
        this.updatedAtMs = nowMs;
        if (nowMs < this.heldUntilMs) {
            return;
        }
        if (nowMs - this.overShareDeniedAtMs > windowMs && usage <= targetUsage) {
            this.add((-elapsedMs * maxAllowance) / releaseMs);
        } else {
            // A longer gap says nothing about the usage in between.
            this.add(Math.min(elapsedMs, windowMs) * computeRisePerMs(usage));
        }
    }

    /** Records a denial, after {@link update}. */
    public recordDenial(denial: SpareDenial, nowMs: number): void {
        switch (denial) {
            case "over-share":
                this.overShareDeniedAtMs = nowMs;
                break;
            case "below-level":
                this.allowance = 0;
                this.heldUntilMs = nowMs + belowLevelHoldMs;
                break;
            case "within-share":
                this.allowance *= withinShareDenialFactor;
        }
    }

    /** Time until the allowance has risen by `missing`, if requests are still denied and the usage stays; milliseconds. */
    public estimateRiseMs(missing: number, usage: number): number {
        const risePerMs = computeRisePerMs(usage);
        return risePerMs > 0 && this.allowance + missing <= maxAllowance
            ? Math.max(0, missing) / risePerMs
            : Number.POSITIVE_INFINITY;
    }

    private add(change: number): void {
        this.allowance = Math.min(maxAllowance, Math.max(0, this.allowance + change));
    }
}

/** Change of the allowance in a millisecond, in proportion to what is free of the target, or exceeds it, up to the maximum rate. */
function computeRisePerMs(usage: number): number {
    const free = Math.min(1, Math.max(-1, (targetUsage - usage) / fullRateFree));
    return (maxAllowance / riseMs) * free * (free < 0 ? fallFactor : 1);
}
