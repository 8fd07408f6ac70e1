/**
 * Which router owns a target, the same in all routers' views without a message between them.
 *
 * The first live router by rendezvous hashing over target and router owns it. A router that does not answer is passed over for a
 * while, longer each time, and the next one takes its place at once. Two routers may be taken for the owner for as long
 * as views of who is there differ; each then keeps its own books, and what they grant together is bounded by twice the limit.
 */
import { hashFast, mixHashes } from "../../base/hash.js";

/** First time for which a router that did not answer is passed over; doubles with each further silence. */
const firstSuspicionMs = 500;
const longestSuspicionMs = 8_000;
/** Owners tried in order of their weight; of so many in a row one is alive unless most of the fleet is gone. */
const rankedOwners = 4;
/** A ranking is computed anew this often: the routers known change within seconds. */
const rankingTtlMs = 1_000;

interface Suspicion {
    untilMs: number;
    pauseMs: number;
}

interface Ranking {
    readonly atMs: number;
    readonly routerIds: readonly string[];
}

/** Finds the owners of targets. */
export class TargetOwners {
    private readonly suspicions = new Map<string, Suspicion>();
    private readonly rankings = new Map<number, Ranking>();

    /** `getRouterIds`: routers believed live, this one included. */
    public constructor(private readonly getRouterIds: () => readonly string[]) {}

    /** The owner of the target; undefined: all that could be it are silent. */
    public find(targetHash: number, nowMs: number): string | undefined {
        return this.findRanking(targetHash, nowMs).routerIds.find(
            id => (this.suspicions.get(id)?.untilMs ?? Number.NEGATIVE_INFINITY) <= nowMs,
        );
    }

    /** The router did not answer in time. */
    public recordTimeout(routerId: string, nowMs: number): void {
        const before = this.suspicions.get(routerId);
        if (before !== undefined && before.untilMs > nowMs) {
            return;
        }
        const pauseMs = before === undefined ? firstSuspicionMs : Math.min(longestSuspicionMs, before.pauseMs * 2);
        this.suspicions.set(routerId, { untilMs: nowMs + pauseMs, pauseMs });
    }

    /** The router answered. */
    public recordReply(routerId: string): void {
        this.suspicions.delete(routerId);
    }

    private findRanking(targetHash: number, nowMs: number): Ranking {
        let ranking = this.rankings.get(targetHash);
        if (ranking === undefined || nowMs - ranking.atMs >= rankingTtlMs) {
            ranking = { atMs: nowMs, routerIds: this.computeRanking(targetHash) };
            this.rankings.set(targetHash, ranking);
        }
        return ranking;
    }

    private computeRanking(targetHash: number): readonly string[] {
        return this.getRouterIds()
            .map(id => ({ id, weight: mixHashes(targetHash, hashFast(id)) }))
            .sort((a, b) => b.weight - a.weight)
            .slice(0, rankedOwners)
            .map(({ id }) => id);
    }
}
