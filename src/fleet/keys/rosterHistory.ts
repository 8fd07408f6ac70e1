import { orderByRendezvous } from "../../base/hash.js";

/** The time for which one incarnation of an agent stood in the roster; by the log's dates. */
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

/** Standing agents that serve the service, by their rank for the key: the first is its home. */
export function orderOwners(history: RosterHistory, service: string, keyHash: string): readonly Tenure[] {
    const serving = history.tenures.filter(
        tenure => tenure.endedAtMs === undefined && tenure.services.includes(service),
    );
    return orderByRendezvous(keyHash, serving, tenure => tenure.agentId);
}

/** The standing tenure of an agent. */
export function findCurrentTenure(history: RosterHistory, agentId: string): Tenure | undefined {
    return history.tenures.find(tenure => tenure.agentId === agentId && tenure.endedAtMs === undefined);
}
