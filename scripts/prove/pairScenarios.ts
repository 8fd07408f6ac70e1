import { setTargetFault } from "../../test/fakes/targetRuns.js";
import type { ProofRun } from "./proofRun.js";
import { usualPoints, type Scenario } from "./scenario.js";

const settleMs = 1_500;
const faultMs = 4_000;

/** Faults that a pair of which is injected at once; each heals itself. */
const faults: Readonly<Record<string, (run: ProofRun) => Promise<void>>> = {
    killAgent: async run => {
        const agent = run.pick(run.fleet.agents.filter(candidate => candidate.process.isRunning));
        await run.stopHard(agent);
        await run.sleep(settleMs);
        run.fleet.startAgain(agent);
    },
    killRouter: async run => {
        const router = run.pick(run.fleet.routers.filter(candidate => candidate.process.isRunning));
        await run.stopHard(router);
        await run.sleep(settleMs);
        run.fleet.startAgain(router);
    },
    cutWay: run => run.closeWays(`^${run.pick(run.fleet.routers).name}>${run.pick(run.fleet.agents).name}$`, faultMs),
    pauseAgent: run => run.stopForWhile(run.pick(run.fleet.agents), faultMs),
    platformDown: async run => {
        run.recordFault("platform down");
        await run.fleet.setPlatformFault("down");
        await run.sleep(faultMs);
        await run.fleet.setPlatformFault("ok");
    },
    cold: async run => {
        const target = run.pick(run.fleet.targets.filter(candidate => candidate.kind === "model")).name;
        run.recordFault(`${target} turns cold`);
        await setTargetFault(run.fleet, target, { mode: "cold" });
    },
};

/** Two faults at once, drawn by the seed. */
export const pairScenarios: readonly Scenario[] = [
    {
        name: "two-faults",
        summary: "pairs of faults at once: kills, cuts, pauses, an outage of the platform, cold targets",
        points: usualPoints,
        run: async run => {
            const names = Object.keys(faults);
            for (let round = 0; round < 3; round++) {
                const first = run.pick(names);
                const second = run.pick(names.filter(name => name !== first));
                await run.sleep(settleMs);
                await Promise.all([faults[first](run), faults[second](run)]);
                await Promise.all(run.fleet.daemons.map(daemon => run.fleet.waitReady(daemon)));
            }
        },
    },
];
