import { usualPoints, type Scenario } from "./scenario.js";

const settleMs = 1_500;
const cutMs = 5_000;

/** Faults of the ways between processes. */
export const networkScenarios: readonly Scenario[] = [
    {
        name: "cut-router",
        summary: "one router cut from all agents, its peers and the platform, then healed",
        points: usualPoints,
        run: async run => {
            await run.sleep(settleMs);
            const router = run.pick(run.fleet.routers);
            const { name } = router;
            await run.runIsolated([router], () => run.closeWays(`^${name}>|>${name}$`, cutMs));
        },
    },
    {
        name: "cut-pair",
        summary: "single router-agent ways cut for short times, again and again",
        points: usualPoints,
        run: async run => {
            for (let round = 0; round < 6; round++) {
                await run.sleep(300);
                const pattern = `^${run.pick(run.fleet.routers).name}>${run.pick(run.fleet.agents).name}$`;
                await run.closeWays(pattern, 500);
            }
        },
    },
    {
        name: "freeze-agent",
        summary: "an agent's ways to all routers hold all bytes for a while and then pass them on late",
        points: usualPoints,
        run: async run => {
            await run.sleep(settleMs);
            await run.closeWays(`>${run.pick(run.fleet.agents).name}$`, cutMs, "frozen");
        },
    },
    {
        name: "cut-target",
        summary: "the way between an agent and its target breaks again and again",
        points: usualPoints,
        run: async run => {
            for (let round = 0; round < 4; round++) {
                await run.sleep(500);
                const target = run.pick(run.fleet.targets).name;
                await run.closeWays(`^agent-${target}>${target}$`, 300);
            }
        },
    },
    {
        name: "cut-agent-from-log",
        summary: "an agent of the plain service loses the platform past its lease",
        points: usualPoints,
        run: async run => {
            const agent = run.pick(run.fleet.agents.filter(candidate => candidate.target?.kind === "plain"));
            await run.sleep(settleMs);
            await run.closeWays(`^${agent.name}>platform$`, 12_000);
        },
    },
];
