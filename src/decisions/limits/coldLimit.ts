/**
 * Limits how much of a cold target's small capacity this router may use.
 *
 * Load pattern: the targets of a zone restart together, and all routers send their backlog to them. A cold target
 * crashes when it receives well above its rate, and everything sent to it is lost. Routers cannot coordinate before
 * each request, so each uses a fixed part: a few routers, selected identically by all of them (rendezvous hashing over
 * target and router), share a target's rate, and the others send nothing to it. The sets of live routers differ for
 * seconds after a start or a network partition. A router that has received messages from too few peers would take too
 * much, so it divides the rate by at least `minSharers`, and sends nothing to cold targets until it has had time to
 * receive its peers' messages (see `isSettled`).
 *
 * Threshold: three quarters of the rate that the target can handle, in any second, because requests are counted when
 * they arrive, and two requests sent in different seconds may arrive in the same one.
 */
import { hashFast, mixHashes } from "../../base/hash.js";
import { SlidingCount } from "../structures/slidingCount.js";

/**
 * Maximum number of routers that share a cold target, so that each may send several requests per second at a usual
 * rate.
 */
const maxSharers = 4;
const minSharers = 2;
const usedFraction = 0.75;
/**
 * The limit applies to sliding seconds; the window in milliseconds is longer to allow for requests that are delayed in
 * transit.
 */
const windowMs = 1_150;

/** The load that a cold target can handle. */
export interface ColdRate {
    readonly requestsPerSecond: number;
    readonly overage: number;
    readonly slack: number;
}

/** The routers of the fleet as far as this router has received messages from them. */
export interface RouterView {
    readonly ownId: string;
    /** Ids of the live routers, including this one. */
    readonly routerIds: readonly string[];
    /** Ids of routers that others have named and that have not sent a message; they count in {@link unheard}. */
    readonly namedIds?: readonly string[];
    /** Number of expected routers that have not sent a message yet. */
    readonly unheard: number;
    /** Whether this router has had time to receive messages from its peers. */
    readonly isSettled: boolean;
}

/** Requests that this router may send to the cold target in any second. */
export function computeColdShare(targetId: string, rate: ColdRate, view: RouterView): number {
    if (!view.isSettled) {
        return 0;
    }
    const targetHash = hashFast(targetId);
    const ids = [...view.routerIds, ...(view.namedIds ?? [])];
    const weights = ids.map(id => ({ id, weight: mixHashes(targetHash, hashFast(id)) }));
    const sharers = Math.max(minSharers, Math.min(maxSharers, view.routerIds.length + view.unheard));
    const own = weights.find(entry => entry.id === view.ownId)?.weight ?? 0;
    const rank = weights.filter(entry => entry.weight > own).length;
    if (rank >= sharers) {
        return 0;
    }
    const capacity = rate.requestsPerSecond * rate.overage + rate.slack;
    return Math.floor((capacity * usedFraction) / sharers);
}

/** Limits this router's sends to one cold target to its share. */
export class ColdLimiter {
    private readonly sent = new SlidingCount(windowMs);

    /** Counts every send, also while the target is warm, because it may turn cold within the same second. */
    public recordSend(nowMs: number): void {
        this.sent.add(nowMs);
    }

    public hasCapacity(nowMs: number, share: number): boolean {
        return this.sent.count(nowMs) < share;
    }
}
