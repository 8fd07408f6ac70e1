import { err, ok, type Result } from "neverthrow";
import { orderByRendezvous } from "../../base/hash.js";
import type { Refusal } from "../entities.js";
import { isIssuedKey, verifyIssuedKey } from "./issuedKey.js";
import { hashKey, type KeyUse } from "./keyUse.js";

/** The fields of the control protocol's roster entry that finding the owner of a key needs. */
export interface RosterAgent {
    readonly daemonId: string;
    readonly incarnation: number;
    readonly services: readonly string[];
}

/** The agent that handles every request with a key. */
export interface KeyOwner {
    readonly agentId: string;
    /** Set for issued keys: no other incarnation may start the request. */
    readonly incarnation: number | undefined;
}

/**
 * Finds the owner of a key. `agents` are the roster entries with the role agent, as this router last read them; a
 * router with an outdated roster may send the request to the wrong agent, which refuses it and names the owner.
 * Errors: the refusal to return to the caller.
 */
export function findKeyOwner(
    use: Pick<KeyUse, "clientAccount" | "service" | "key">,
    agents: readonly RosterAgent[],
    secret: string,
): Result<KeyOwner, Refusal> {
    return isIssuedKey(use.key) ? findIssuedKeyOwner(use, agents, secret) : findCallerChosenKeyOwner(use, agents);
}

function findIssuedKeyOwner(
    use: Pick<KeyUse, "clientAccount" | "service" | "key">,
    agents: readonly RosterAgent[],
    secret: string,
): Result<KeyOwner, Refusal> {
    return verifyIssuedKey(secret, use.key)
        .mapErr(error => createRefusal(error.message))
        .andThen(({ agentId, incarnation }) => {
            const rosterAgent = agents.find(agent => agent.daemonId === agentId);
            // A key from a router with a newer roster may name an incarnation that is not in this router's roster yet.
            return rosterAgent !== undefined && rosterAgent.incarnation > incarnation
                ? err(createRefusal("The process that could tell whether the key was used is gone."))
                : ok({ agentId, incarnation });
        });
}

function findCallerChosenKeyOwner(
    use: Pick<KeyUse, "clientAccount" | "service" | "key">,
    agents: readonly RosterAgent[],
): Result<KeyOwner, Refusal> {
    const serving = agents.filter(agent => agent.services.includes(use.service));
    const [owner] = orderByRendezvous(hashKey(use), serving, agent => agent.daemonId);
    if (owner === undefined) {
        return err({ ...createRefusal("No agent in the roster serves the service."), reason: "no-target" });
    }
    return ok({ agentId: owner.daemonId, incarnation: undefined });
}

function createRefusal(detail: string): Refusal {
    return { reason: "key-unknown", execution: "unknown", retryAfterMs: undefined, detail };
}
