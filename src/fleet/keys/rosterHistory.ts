import { orderByRendezvous } from "../../base/hash.js";

/** A record of the roster stream, as far as keys depend on it. */
export type RosterRecord =
    | {
          readonly type: "register";
          readonly daemonId: string;
          readonly incarnation: number;
          readonly services: readonly string[];
          readonly appendedAtMs: number;
      }
    | {
          readonly type: "leave";
          readonly daemonId: string;
          /** The incarnation that leaves; a later one is untouched. */
          readonly incarnation: number;
          readonly appendedAtMs: number;
      };

/** The time for which one incarnation of an agent stood in the roster with one list of services; by the log's dates. */
export interface Tenure {
    readonly agentId: string;
    readonly incarnation: number;
    readonly services: readonly string[];
    readonly registeredAtMs: number;
    /** Undefined while it stands. */
    readonly endedAtMs: number | undefined;
}

/** Who has stood in the roster, and who stands there. */
export interface RosterHistory {
    readonly tenures: readonly Tenure[];
    /** Every tenure that ended later than this is known; undefined when the stream was read from its first record. */
    readonly completeSinceMs: number | undefined;
}

/** The history before any record. */
export const emptyRosterHistory: RosterHistory = { tenures: [], completeSinceMs: undefined };

/**
 * The history to start from when the log has dropped its first records. Live agents repeat their registration at least
 * every `refreshMs`, so whoever left no record since the oldest one plus that time was not there.
 */
export function createTruncatedHistory(oldestRecordAtMs: number, refreshMs: number): RosterHistory {
    return { tenures: [], completeSinceMs: oldestRecordAtMs + refreshMs };
}

/**
 * Takes in the next record in log order. Only agents' records belong here. A repeat of a registration with the same
 * services (sent so that it outlives the log's retention) changes nothing, nor does an older incarnation's.
 */
export function appendRosterRecord(history: RosterHistory, record: RosterRecord): RosterHistory {
    const standing = findStanding(history, record.daemonId);
    if (record.type === "leave") {
        return standing === undefined || standing.incarnation > record.incarnation
            ? history
            : { ...history, tenures: closeTenure(history.tenures, standing, record.appendedAtMs) };
    }
    const latest = Math.max(
        -1,
        ...history.tenures.filter(tenure => tenure.agentId === record.daemonId).map(tenure => tenure.incarnation),
    );
    const isRepeat = standing?.incarnation === record.incarnation && hasSameServices(standing, record.services);
    // A registration that was delayed in the platform may land after the leave record or a newer one of the same agent;
    // taken in, it would make a dead process the home.
    if (record.incarnation < latest || isRepeat || (standing === undefined && record.incarnation === latest)) {
        return history;
    }
    const before =
        standing === undefined ? history.tenures : closeTenure(history.tenures, standing, record.appendedAtMs);
    const opened: Tenure = {
        agentId: record.daemonId,
        incarnation: record.incarnation,
        services: record.services,
        registeredAtMs: record.appendedAtMs,
        endedAtMs: undefined,
    };
    return { ...history, tenures: [...before, opened] };
}

/** Drops tenures that ended before `beforeMs`; callers choose it older than anything a key decision looks back to. */
export function removeOldTenures(history: RosterHistory, beforeMs: number): RosterHistory {
    const kept = history.tenures.filter(tenure => tenure.endedAtMs === undefined || tenure.endedAtMs >= beforeMs);
    if (kept.length === history.tenures.length) {
        return history;
    }
    return { tenures: kept, completeSinceMs: Math.max(history.completeSinceMs ?? beforeMs, beforeMs) };
}

/** Standing agents that serve the service, by their rank for the key: the first is its home. */
export function orderHomes(history: RosterHistory, service: string, keyHash: string): readonly Tenure[] {
    const serving = history.tenures.filter(
        tenure => tenure.endedAtMs === undefined && tenure.services.includes(service),
    );
    return orderByRendezvous(keyHash, serving, tenure => tenure.agentId);
}

/** The standing tenure of an agent. */
export function findStanding(history: RosterHistory, agentId: string): Tenure | undefined {
    return history.tenures.find(tenure => tenure.agentId === agentId && tenure.endedAtMs === undefined);
}

function closeTenure(tenures: readonly Tenure[], closed: Tenure, endedAtMs: number): readonly Tenure[] {
    return tenures.map(tenure => (tenure === closed ? { ...tenure, endedAtMs } : tenure));
}

function hasSameServices(tenure: Tenure, services: readonly string[]): boolean {
    return tenure.services.length === services.length && services.every(service => tenure.services.includes(service));
}
