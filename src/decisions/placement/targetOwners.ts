/**
 * Selects the router that owns a target. All routers with the same view of the fleet select the same one without exchanging messages.
 *
 * The owner is the first live router by rendezvous hashing over target and router. A router that does not reply is skipped for an
 * increasing time, and the next one in the ranking replaces it immediately. Two routers may be selected as the owner while
 * views of the live routers differ; each then has its own accounting, and their grants together are bounded by twice the limit.
 */
import { hashFast, mixHashes } from "../../base/hash.js";

/** Initial time for which a router that did not reply is skipped; doubles with each further timeout. */
const initialSuspicionMs = 500;
const maxSuspicionMs = 8_000;
/** Number of ranked routers per target: one of them is alive unless most of the fleet has failed. */
const rankedOwners = 4;
/** Time after which a ranking is recomputed, as the list of routers may have changed; milliseconds. */
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

    /** `getRouterIds`: routers considered live, including this one. */
    public constructor(private readonly getRouterIds: () => readonly string[]) {}

    /** Id of the router that owns the target; undefined if all ranked routers are being skipped. */
    public find(targetHash: number, nowMs: number): string | undefined {
        return this.findRanking(targetHash, nowMs).routerIds.find(
            id => (this.suspicions.get(id)?.untilMs ?? Number.NEGATIVE_INFINITY) <= nowMs,
        );
    }

    /** Records that the router did not reply in time. */
    public recordTimeout(routerId: string, nowMs: number): void {
        const previous = this.suspicions.get(routerId);
        if (previous !== undefined && previous.untilMs > nowMs) {
            return;
        }
        const pauseMs = previous === undefined ? initialSuspicionMs : Math.min(maxSuspicionMs, previous.pauseMs * 2);
        this.suspicions.set(routerId, { untilMs: nowMs + pauseMs, pauseMs });
    }

    /** Records a reply of the router, which ends its suspicion. */
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
