/**
 * How much of a cold target's small capacity this router may use.
 *
 * Load pattern: a zone's targets come back together and everybody's backlog runs to them; a cold target crashes well above
 * its rate, and all that was sent there is lost. Routers can't ask one another before each request, so each takes a fixed
 * part: a few routers, the same in everybody's view (rendezvous over target and router), share a target's rate, and the
 * others send it nothing. Views of who is there differ for seconds after a start or a cut; a router that knows fewer
 * peers than there are would take too much, so it divides by no fewer than `leastSharers` and stays out of cold
 * targets for as long as it has no message of peers (see `isSettled`).
 * Threshold: three quarters of the rate that the target bears, in any second, since requests are counted when they arrive
 * and two that were sent in different seconds may arrive in one.
 */
import { hashFast, mixHashes } from "../../base/hash.js";
import { SlidingCount } from "../structures/slidingCount.js";

/** Routers that share a cold target when there are so many; each then gets some whole requests a second of a usual rate. */
const mostSharers = 4;
const leastSharers = 2;
const usedShare = 0.75;
/** The bound is on sliding seconds; the margin covers requests that were delayed on their way. */
const spanMs = 1_150;

/** What a cold target bears. */
export interface ColdRate {
    readonly requestsPerSecond: number;
    readonly overage: number;
    readonly slack: number;
}

/** The routers as this one knows them. */
export interface RouterView {
    readonly ownId: string;
    /** Live routers, this one included. */
    readonly routerIds: readonly string[];
    /** Routers that should be there and have sent no message. */
    readonly unheard: number;
    /** Whether this router has had time to receive messages of its peers. */
    readonly isSettled: boolean;
}

/** Requests that this router may send to the target in any second. */
export function computeColdShare(targetId: string, rate: ColdRate, view: RouterView): number {
    if (!view.isSettled) {
        return 0;
    }
    const targetHash = hashFast(targetId);
    const weights = view.routerIds.map(id => ({ id, weight: mixHashes(targetHash, hashFast(id)) }));
    const sharers = Math.max(leastSharers, Math.min(mostSharers, weights.length + view.unheard));
    const own = weights.find(entry => entry.id === view.ownId)?.weight ?? 0;
    const ahead = weights.filter(entry => entry.weight > own).length;
    if (ahead >= sharers) {
        return 0;
    }
    const bearable = rate.requestsPerSecond * rate.overage + rate.slack;
    return Math.floor((bearable * usedShare) / sharers);
}

/** Keeps this router's sends to one cold target within its share. */
export class ColdLimiter {
    private readonly sent = new SlidingCount(spanMs);

    /** Counts every send, also while warm, since the target may turn cold within the second. */
    public recordSend(nowMs: number): void {
        this.sent.add(nowMs);
    }

    public hasCapacity(nowMs: number, share: number): boolean {
        return this.sent.count(nowMs) < share;
    }
}
