import type { RosterEntry } from "../control/schemas.js";
import { chooseSubset, defaultSubsetSize } from "../decisions/placement/subset.js";
import type { EnvironmentDocument } from "../document/schema.js";

/**
 * Routers that work with each agent when not all do: with three, the loss of one router or of the way to it leaves an agent
 * with two, so that its slots stay in use.
 */
const routersPerAgent = 3;
/** One subset for all environments and starts; changing it reconnects the fleet. */
const subsetSeed = "agents";

/**
 * The roster's entries that a router works with. Agents of plain services are all in it: an idempotency key has one home,
 * which must be reached from every router.
 */
export function pickAgents(
    routerId: string,
    roster: readonly RosterEntry[],
    document: EnvironmentDocument | undefined,
): readonly RosterEntry[] {
    const routerIds = roster.filter(entry => entry.role === "router").map(entry => entry.daemonId);
    const agents = roster.filter(entry => entry.role === "agent").map(entry => ({ ...entry, agentId: entry.daemonId }));
    const isModelOnly = (entry: RosterEntry): boolean =>
        entry.services.every(service => document?.services[service]?.kind === "model");
    const models = agents.filter(isModelOnly);
    const routerCount = Math.max(1, new Set([...routerIds, routerId]).size);
    const size = Math.max(defaultSubsetSize, Math.ceil((models.length * routersPerAgent) / routerCount));
    const chosen = chooseSubset(routerId, routerIds, models, size, subsetSeed);
    return [...agents.filter(entry => !isModelOnly(entry)), ...chosen];
}
