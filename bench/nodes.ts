import { SeededRandom } from "../src/base/random.js";
import { chooseSubset, defaultSubsetSize } from "../src/decisions/placement/subset.js";
import type { AgentIdentity } from "../src/fleet/entities.js";
import type { RouterMessage } from "../src/fleet/routerMessages.js";
import type { Arrival } from "./arrivals.js";
import { Engine } from "./engine.js";
import { usualExchangeBytes } from "./metrics.js";
import type { Scenario } from "./scenario.js";
import type { BenchAgent, BenchRouter, BenchSystem } from "./system.js";

/** A router and the agents that it works with. */
export interface RouterNode {
    readonly id: string;
    readonly dataCentre: string;
    readonly core: BenchRouter;
    readonly agents: readonly AgentNode[];
    /** Mean bytes of an exchange, both ways; decides the period. */
    meanExchangeBytes: number;
}

/** An agent with the engine beside it. */
export interface AgentNode {
    readonly identity: AgentIdentity;
    readonly core: BenchAgent;
    readonly engine: Engine;
    /** By request id. */
    readonly attempts: Map<string, Attempt>;
    /** Since when its data centre is out. */
    outSinceMs: number | undefined;
}

/** One sendWork and its connection. */
export interface Attempt {
    readonly arrival: Arrival;
    readonly router: RouterNode;
    readonly number: number;
    hasOutput: boolean;
    isStarted: boolean;
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

/** What an agent answers; the attempt that it belongs to is added on the way. */
export type AnswerBody = DistributiveOmit<
    Extract<RouterMessage, { readonly type: `work${string}` }>,
    "requestId" | "agentId" | "attempt"
>;

/** An agent for each data centre named in the scenario. */
export function createAgents(scenario: Scenario, system: BenchSystem, seed: number): readonly AgentNode[] {
    return scenario.agentDataCentres.map((dataCentre, index) => {
        const agentId = `t${index + 1}`;
        const identity = { agentId, incarnation: 1, targetName: agentId, dataCentre, services: ["model"] };
        return {
            identity,
            core: system.createAgent(identity, new SeededRandom(seed * 37 + index)),
            engine: new Engine(scenario.engine),
            attempts: new Map(),
            outSinceMs: undefined,
        };
    });
}

/** A router for each data centre named in the scenario, with its subset of the agents. */
export function createRouters(
    scenario: Scenario,
    system: BenchSystem,
    seed: number,
    agents: readonly AgentNode[],
): readonly RouterNode[] {
    const routerIds = scenario.routerDataCentres.map((...[, index]) => `router-${index + 1}`);
    const identities = agents.map(agent => agent.identity);
    return scenario.routerDataCentres.map((dataCentre, index) => {
        const id = routerIds[index]!;
        const subset = chooseSubset(id, routerIds, identities, defaultSubsetSize, "bench");
        const ids = new Set(subset.map(identity => identity.agentId));
        return {
            id,
            dataCentre,
            core: system.createRouter(id, dataCentre, new SeededRandom(seed * 31 + index)),
            agents: agents.filter(agent => ids.has(agent.identity.agentId)),
            meanExchangeBytes: usualExchangeBytes,
        };
    });
}
