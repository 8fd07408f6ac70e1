import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { chooseSubset, type SubsetMember } from "../../../src/decisions/placement/subset.js";

const listNames = (prefix: string, count: number): readonly string[] =>
    Array.from({ length: count }, (...[, index]) => `${prefix}${index}`);
const createAgents = (count: number): readonly SubsetMember[] =>
    listNames("t", count).map((agentId, index) => ({
        agentId,
        dataCentre: ["a", "b", "c"][index % 3]!,
        services: ["model"],
    }));

describe("chooseSubset", () => {
    it("assigns the same number of routers to every agent, within one, whatever the sizes", () => {
        fc.assert(
            fc.property(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 90 }), (routerCount, agentCount) => {
                const routers = listNames("r", routerCount);
                const agents = createAgents(agentCount);
                const counts = new Map(agents.map(agent => [agent.agentId, 0]));
                for (const router of routers) {
                    for (const { agentId } of chooseSubset(router, routers, agents, 12, "seed")) {
                        counts.set(agentId, (counts.get(agentId) ?? 0) + 1);
                    }
                }
                for (const dataCentre of ["a", "b", "c"]) {
                    const own = agents.filter(agent => agent.dataCentre === dataCentre);
                    const values = own.map(agent => counts.get(agent.agentId) ?? 0);
                    expect(Math.max(0, ...values) - Math.min(...values, Infinity)).toBeLessThanOrEqual(1);
                }
            }),
            { seed: 5, numRuns: 60 },
        );
    });

    it("changes few connections when an agent is added, and doesn't depend on the order of the arguments", () => {
        const routers = listNames("r", 40);
        const before = createAgents(90);
        const after = [...before, { agentId: "new", dataCentre: "a", services: ["model"] }];
        const changes = routers.map(router => {
            const old = new Set(chooseSubset(router, routers, before, 12, "seed").map(agent => agent.agentId));
            const subset = chooseSubset(router, [...routers].reverse(), [...after].reverse(), 12, "seed");
            return subset.filter(agent => !old.has(agent.agentId)).length;
        });
        expect(Math.max(...changes)).toMatchInlineSnapshot(`2`);
    });
});
