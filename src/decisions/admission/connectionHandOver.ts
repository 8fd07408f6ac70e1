/**
 * Which new connections a router that is short of processor time hands to a neighbour, unread.
 *
 * Load pattern: the callers of a flood are bound to single routers. These saturate, and further callers, of any account, get no
 * connection, while neighbours in the same data centre have time to spare. To pass a connection's bytes on takes a fraction of the time
 * that serving its request takes.
 */
import type { Random } from "../../base/random.js";

/** A router in the same data centre, as it reported itself. */
export interface Neighbour {
    readonly routerId: string;
    /** Part of a core that it may use. */
    readonly processorShare: number;
    /** Part of its time in which it is busy, 0 to 1. */
    readonly utilization: number;
}

/** From this utilization on a part of the new connections is handed over, and all of them from the second on. */
const handOverFrom = 0.7;
const handOverAllFrom = 0.85;
/** What a neighbour is to be used for at most; the rest is for its own callers' bursts. */
const mostNeighbourUse = 0.65;
/** Processor time of serving one request; seconds of a whole core. */
const serveSeconds = 0.004;
/** A neighbour's report covers what was handed to it up to about this long ago; milliseconds. */
const reportAgeMs = 1_000;

interface HandedOver {
    readonly routerId: string;
    readonly atMs: number;
}

/** Chooses neighbours for a router's new connections. */
export class ConnectionHandOver {
    /** Not yet in the neighbours' reports. */
    private recent: HandedOver[] = [];

    /** The neighbour that takes a connection; undefined: the router serves it. */
    public choose(
        ownUtilization: number,
        neighbours: readonly Neighbour[],
        random: Random,
        nowMs: number,
    ): string | undefined {
        const part = (ownUtilization - handOverFrom) / (handOverAllFrom - handOverFrom);
        if (part <= 0 || random.next() >= part) {
            return undefined;
        }
        this.recent = this.recent.filter(({ atMs }) => nowMs - atMs < reportAgeMs);
        const withRoom = neighbours
            .map(neighbour => ({ neighbour, room: this.computeRoom(neighbour) }))
            .filter(({ room }) => room > 0);
        // Of two at random the one with more room: all routers that look for the best one would find the same.
        const first = pickOne(withRoom, random);
        const second = pickOne(withRoom, random);
        const chosen = (first?.room ?? 0) >= (second?.room ?? 0) ? first : second;
        if (chosen !== undefined) {
            this.recent.push({ routerId: chosen.neighbour.routerId, atMs: nowMs });
        }
        return chosen?.neighbour.routerId;
    }

    /** Part of a core that the neighbour has left. */
    private computeRoom({ routerId, processorShare, utilization }: Neighbour): number {
        const handedOver = this.recent.reduce((sum, entry) => sum + (entry.routerId === routerId ? 1 : 0), 0);
        return (mostNeighbourUse - utilization) * processorShare - handedOver * serveSeconds;
    }
}

function pickOne<T>(entries: readonly T[], random: Random): T | undefined {
    return entries[Math.floor(random.next() * entries.length)];
}
