/**
 * Decides when a starting router knows enough of the fleet to use its part of what routers share.
 *
 * Load pattern: the larger the fleet, the less often each router sends its state, as its bytes are bounded. A router that starts hears only few
 * of the others in the first seconds. If it took these for the fleet, it would use several times its part of a cold target's rate and of the
 * fleet's retries; when a whole fleet starts, these parts sum up to many times the limits.
 *
 * The interval that a peer reports shows to how many routers it sends. A peer that has just started does not know the fleet either, so its
 * first messages show nothing.
 */

/** A router from which a message was received. */
export interface HeardRouter {
    /** Number of messages that the router has sent since it started. */
    readonly sequence: number;
    /** Interval between the router's messages; milliseconds. */
    readonly periodMs: number;
    /** Size of the router's message; undefined if it is not known. */
    readonly messageBytes: number | undefined;
}

/** Bounds of the routers' messages. */
export interface MessageBudget {
    /** Minimum interval between a router's messages; it shows nothing about the size of the fleet. Milliseconds. */
    readonly minPeriodMs: number;
    /** Maximum rate of messages that a router sends. */
    readonly bytesPerSecond: number;
}

/** Minimum time after a start; several rounds of a small fleet pass in it. Milliseconds. */
const minSettleMs = 1_500;
/**
 * Minimum time after a start without a message of any router. In a large fleet that starts, the other routers' first messages may have been
 * sent too early, and the next ones follow after seconds. Milliseconds.
 */
const minUnheardSettleMs = 10_000;
/** Time after which a router uses its part in any case; else cold targets would get no requests for as long as an estimate is wrong. */
const maxSettleMs = 30_000;
/** Messages of a peer since its start from which its interval shows the size of the fleet. */
const minSequence = 3;
/**
 * Fraction of the estimated number of routers that must be known. Parts are computed for three quarters of a limit, so that they sum up to the
 * limit then. The estimate is up to a quarter too high, since relays send their own messages less often.
 */
const minKnownFraction = 0.75;
const msPerSecond = 1_000;

/** Number of other routers that the best informed of the heard ones sends to; 0 if their messages don't show it. */
export function estimatePeerCount(heard: readonly HeardRouter[], budget: MessageBudget): number {
    const counts = heard
        .filter(({ sequence, periodMs }) => sequence >= minSequence && periodMs > budget.minPeriodMs)
        .map(({ periodMs, messageBytes }) =>
            messageBytes === undefined ? 0 : (periodMs * budget.bytesPerSecond) / msPerSecond / messageBytes,
        );
    return Math.floor(Math.max(0, ...counts));
}

/** Whether a router knows enough of the fleet. `upMs`: time since its start; `knownPeers`: other routers that it has heard of. */
export function isSettled(
    upMs: number,
    knownPeers: number,
    heard: readonly HeardRouter[],
    budget: MessageBudget,
): boolean {
    if (upMs < minSettleMs || upMs >= maxSettleMs) {
        return upMs >= maxSettleMs;
    }
    if (heard.length === 0) {
        return knownPeers === 0 || upMs >= minUnheardSettleMs;
    }
    return (
        heard.every(({ sequence }) => sequence >= minSequence) &&
        knownPeers >= minKnownFraction * estimatePeerCount(heard, budget)
    );
}
