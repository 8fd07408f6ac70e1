/**
 * Handover of new connections: selects the connections that a router short of processor time forwards, unread, to a neighbour.
 *
 * Load pattern: many callers that cause an overload connect to the same few routers. These saturate, and further callers, of any account,
 * get no connection, although neighbours in the same data centre have spare processor time. Forwarding a connection's bytes takes a
 * fraction of the processor time that serving its request takes.
 */
import type { Random } from "../../base/random.js";

/** A router in the same data centre, with the load that it last reported. */
export interface Neighbour {
    readonly routerId: string;
    /** Fraction of a core that the neighbour may use. */
    readonly processorShare: number;
    /** Fraction of time in which the neighbour's event loop is busy, 0 to 1. */
    readonly utilization: number;
}

/** Utilization above which some new connections are handed over; their fraction grows linearly up to the second threshold. */
const handoverThreshold = 0.7;
/** Utilization from which all new connections are handed over. */
const fullHandoverThreshold = 0.85;
/** Maximum utilization of a neighbour by handed-over connections; the rest stays free for bursts of its own callers. */
const maxNeighbourUtilization = 0.65;
/** Processor time to serve one request; seconds of a full core. */
const requestServiceSeconds = 0.004;
/** Age of a neighbour's report: connections handed over more recently are not yet included in its utilization; milliseconds. */
const reportAgeMs = 1_000;

interface HandoverRecord {
    readonly routerId: string;
    readonly atMs: number;
}

/** Chooses neighbours for a router's new connections. */
export class ConnectionHandOver {
    /** Handovers not yet included in the neighbours' reports. */
    private recent: HandoverRecord[] = [];

    /** The neighbour that a new connection is handed over to; undefined if the router serves the connection itself. */
    public choose(
        ownUtilization: number,
        neighbours: readonly Neighbour[],
        random: Random,
        nowMs: number,
    ): string | undefined {
        const fraction = (ownUtilization - handoverThreshold) / (fullHandoverThreshold - handoverThreshold);
        if (fraction <= 0 || random.next() >= fraction) {
            return undefined;
        }
        this.recent = this.recent.filter(({ atMs }) => nowMs - atMs < reportAgeMs);
        const available = neighbours
            .map(neighbour => ({ neighbour, capacity: this.computeCapacity(neighbour) }))
            .filter(({ capacity }) => capacity > 0);
        // Power of two choices: if every router picked the neighbour with the most spare capacity, all would pick the same one.
        const first = pickOne(available, random);
        const second = pickOne(available, random);
        const chosen = (first?.capacity ?? 0) >= (second?.capacity ?? 0) ? first : second;
        if (chosen !== undefined) {
            this.recent.push({ routerId: chosen.neighbour.routerId, atMs: nowMs });
        }
        return chosen?.neighbour.routerId;
    }

    /** Spare processor capacity of a neighbour, as a fraction of a core; negative if it is beyond the maximum utilization. */
    private computeCapacity({ routerId, processorShare, utilization }: Neighbour): number {
        const handedOver = this.recent.reduce((sum, entry) => sum + (entry.routerId === routerId ? 1 : 0), 0);
        return (maxNeighbourUtilization - utilization) * processorShare - handedOver * requestServiceSeconds;
    }
}

function pickOne<T>(entries: readonly T[], random: Random): T | undefined {
    return entries[Math.floor(random.next() * entries.length)];
}
