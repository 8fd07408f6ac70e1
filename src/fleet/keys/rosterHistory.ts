import { orderByRendezvous } from "../../base/hash.js";

/** The period for which one incarnation of an agent was in the roster, according to the dates in the log. */
export interface Tenure {
    readonly agentId: string;
    readonly incarnation: number;
    readonly services: readonly string[];
    readonly registeredAtMs: number;
    /** Undefined while the incarnation is in the roster. */
    readonly endedAtMs: number | undefined;
}

/** Current and former members of the roster. */
export interface RosterHistory {
    readonly tenures: readonly Tenure[];
    /**
     * Every tenure that ended after this date is included, in milliseconds since 1970; undefined if the stream was read
     * from its first record, so that all tenures are included.
     */
    readonly completeSinceMs: number | undefined;
}

/** Agents in the roster that serve the service, in rendezvous order for the key; the first one owns the key. */
export function orderOwners(history: RosterHistory, service: string, keyHash: string): readonly Tenure[] {
    const serving = history.tenures.filter(
        tenure => tenure.endedAtMs === undefined && tenure.services.includes(service),
    );
    return orderByRendezvous(keyHash, serving, tenure => tenure.agentId);
}

/** Finds the tenure of the agent's incarnation that is in the roster now. */
export function findCurrentTenure(history: RosterHistory, agentId: string): Tenure | undefined {
    return history.tenures.find(tenure => tenure.agentId === agentId && tenure.endedAtMs === undefined);
}
