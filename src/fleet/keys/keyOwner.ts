import { err, ok, type Result } from "neverthrow";
import { orderByRendezvous } from "../../base/hash.js";
import type { Refusal } from "../entities.js";
import { isIssuedKey, verifyIssuedKey } from "./issuedKey.js";
import { hashKey, type KeyUse } from "./keyUse.js";

/** An agent as the roster in the log names it; what the control protocol's roster entry holds, as far as keys need it. */
export interface RosterAgent {
    readonly daemonId: string;
    readonly incarnation: number;
    readonly services: readonly string[];
}

/** The agent to which every use of a key goes. */
export interface KeyOwner {
    readonly agentId: string;
    /** Set for issued keys: no other incarnation may run it. */
    readonly incarnation: number | undefined;
}

/**
 * Finds the home of a key. `agents` are the roster's entries of role agent, as this router last read them; a router with
 * an old view asks the wrong agent, which refuses and names the right one.
 * Errors: the answer to give to the caller.
 */
export function findKeyOwner(
    use: Pick<KeyUse, "clientAccount" | "service" | "key">,
    agents: readonly RosterAgent[],
    secret: string,
): Result<KeyOwner, Refusal> {
    return isIssuedKey(use.key) ? findIssuedHome(use, agents, secret) : findChosenHome(use, agents);
}

function findIssuedHome(
    use: Pick<KeyUse, "clientAccount" | "service" | "key">,
    agents: readonly RosterAgent[],
    secret: string,
): Result<KeyOwner, Refusal> {
    return verifyIssuedKey(secret, use.key)
        .mapErr(error => createRefusal(error.message))
        .andThen(({ agentId, incarnation }) => {
            const known = agents.find(agent => agent.daemonId === agentId);
            // A key from a router that has seen a newer roster may name an incarnation that is not known here yet.
            return known !== undefined && known.incarnation > incarnation
                ? err(createRefusal("The process that could tell whether the key was used is gone."))
                : ok({ agentId, incarnation });
        });
}

function findChosenHome(
    use: Pick<KeyUse, "clientAccount" | "service" | "key">,
    agents: readonly RosterAgent[],
): Result<KeyOwner, Refusal> {
    const serving = agents.filter(agent => agent.services.includes(use.service));
    const [home] = orderByRendezvous(hashKey(use), serving, agent => agent.daemonId);
    if (home === undefined) {
        return err({ ...createRefusal("No agent in the roster serves the service."), reason: "no-target" });
    }
    return ok({ agentId: home.daemonId, incarnation: undefined });
}

function createRefusal(detail: string): Refusal {
    return { reason: "key-unknown", execution: "unknown", retryAfterMs: undefined, detail };
}
