/**
 * Selects the subset of agents that a router connects to when there are too many for a full mesh.
 *
 * Load pattern: hundreds of routers and thousands of targets. In a full mesh every daemon exchanges messages with every
 * other daemon; with random subsets some agents have few routers (and are therefore idle) and others have many.
 *
 * Each router takes a window of consecutive agents in a seeded order, and the windows of the sorted routers start at even
 * distances. Every agent is then in the windows of floor(routers x size / agents) routers or one more. Adding or removing one agent
 * moves each window by at most one position, so that a roster change reconnects at most two agents per router. Windows are
 * taken within each (data centre, services) group, so that the loss of a data centre removes the same fraction of every router's agents.
 * Threshold: 20 agents (Google's SRE book, ch. 20, gives 20 to 100 connections as usual); a fleet of up to 20 agents,
 * for example 16, keeps the full mesh.
 */
import { hashToNumber } from "../../base/hash.js";

/** Attributes of an agent that the subset depends on. */
export interface SubsetMember {
    readonly agentId: string;
    readonly dataCentre: string;
    readonly services: readonly string[];
}

/** Maximum number of agents that each router connects to. */
export const defaultSubsetSize = 20;

/** Selects the agents for `routerId`. The result is the same on every machine and doesn't depend on the order of ids and agents. */
export function chooseSubset<T extends SubsetMember>(
    routerId: string,
    routerIds: readonly string[],
    agents: readonly T[],
    size: number,
    seed: string,
): readonly T[] {
    if (agents.length <= size) {
        return agents;
    }
    const sortedRouters = [...new Set([...routerIds, routerId])].sort();
    const fraction = sortedRouters.indexOf(routerId) / sortedRouters.length;
    return [...buildGroups(agents).values()].flatMap(group => {
        const groupSize = Math.min(group.length, Math.ceil((size * group.length) / agents.length));
        const ordered = sortBySeed(group, seed);
        const start = Math.floor(fraction * ordered.length);
        return [...ordered, ...ordered].slice(start, start + groupSize);
    });
}

function buildGroups<T extends SubsetMember>(agents: readonly T[]): ReadonlyMap<string, readonly T[]> {
    const groups = new Map<string, T[]>();
    for (const agent of agents) {
        const key = [agent.dataCentre, ...[...agent.services].sort()].join("\n");
        const group = groups.get(key) ?? [];
        group.push(agent);
        groups.set(key, group);
    }
    return new Map([...groups].sort(([a], [b]) => (a < b ? -1 : 1)));
}

function sortBySeed<T extends SubsetMember>(group: readonly T[], seed: string): readonly T[] {
    return group
        .map(agent => ({ agent, position: hashToNumber(`${seed}\n${agent.agentId}`) }))
        .sort((a, b) => a.position - b.position || (a.agent.agentId < b.agent.agentId ? -1 : 1))
        .map(entry => entry.agent);
}
