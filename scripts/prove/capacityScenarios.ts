import { setTargetFault } from "../../test/fakes/targetRuns.js";
import { checkChangeInForce } from "./checks.js";
import type { ProofRun } from "./proofRun.js";
import { usualPoints, type Scenario } from "./scenario.js";

const settleMs = 1_500;
const outMs = 7_000;
const floodSettleMs = 5_000;
const floodMs = 25_000;

/** Faults of targets, and capacity that operators take out. */
export const capacityScenarios: readonly Scenario[] = [
    {
        name: "cold-targets",
        summary: "engines turn cold without warning under load, more than one at once",
        points: usualPoints,
        run: async run => {
            const engines = run.fleet.targets.filter(target => target.kind === "model");
            for (let round = 0; round < 4; round++) {
                await run.sleep(settleMs);
                const target = run.pick(engines).name;
                run.recordFault(`${target} turns cold`);
                await setTargetFault(run.fleet, target, { mode: "cold" });
            }
        },
    },
    {
        name: "failing-targets",
        summary: "an engine breaks its connections and refuses work, a plain service loses answers after it has run",
        points: usualPoints,
        run: async run => {
            const engine = run.pick(run.fleet.targets.filter(target => target.kind === "model")).name;
            const service = run.pick(run.fleet.targets.filter(target => target.kind === "plain")).name;
            for (const mode of ["break", "refuse", "slow"]) {
                run.recordFault(`${engine} ${mode}, ${service} break`);
                await setTargetFault(run.fleet, engine, { mode });
                await setTargetFault(run.fleet, service, { mode: "break" });
                await run.sleep(settleMs);
                await setTargetFault(run.fleet, engine, { mode: "ok" });
                await setTargetFault(run.fleet, service, { mode: "ok" });
                await run.sleep(settleMs);
            }
        },
    },
    {
        name: "flood",
        summary: "the department floods three full engines that all accounts are backlogged at",
        points: [1, 2, 3, 5, 6],
        hasWorkload: false,
        options: { document: { maxConcurrent: 4, coldLimit: 2, deadlineMs: 60_000 } },
        run: runFlood,
    },
    {
        name: "datacentre-out",
        summary: "a data centre is taken out under load and let in again",
        points: [...usualPoints, 4],
        run: run => runDataCentreOut(run, async () => undefined),
    },
    {
        name: "target-drain",
        summary: "a target is drained under load and resumed",
        points: [...usualPoints, 8],
        run: async run => {
            const target = run.pick(run.fleet.targets).name;
            await run.sleep(settleMs);
            await runClosure(
                run,
                8,
                [target],
                `/targets/${target}/state`,
                ["draining", "serving"],
                async () => undefined,
            );
        },
    },
    {
        name: "vm-leaving",
        summary: "the platform lists the VMs of an engine and of a plain service as leaving, under load",
        points: [...usualPoints, 8],
        run: runLeavingVms,
    },
    {
        name: "datacentre-out-cut",
        summary: "a data centre is taken out while its agents are cut from the platform: routers must tell them",
        points: [...usualPoints, 4],
        run: run =>
            runDataCentreOut(run, async dataCentre => {
                const agents = run.fleet.agents.filter(agent => agent.dataCentre === dataCentre);
                const pattern = `^(${agents.map(agent => agent.name).join("|")})>platform$`;
                await run.closeWays(pattern, outMs);
            }),
    },
];

async function runFlood(run: ProofRun): Promise<void> {
    run.recordFault("department keeps 60 chats open, the others 16 each");
    run.workload.start({ chats: { department: 60, middle: 16, club: 16 }, calls: {}, notes: {} });
    await run.sleep(floodSettleMs);
    const fromMs = Date.now();
    await run.sleep(floodMs);
    run.backlogged = { fromMs, toMs: Date.now() };
}

async function runDataCentreOut(run: ProofRun, inject: (dataCentre: string) => Promise<void>): Promise<void> {
    const dataCentre = run.pick([...new Set(run.fleet.targets.map(target => target.dataCentre))]);
    const targets = run.fleet.targets.filter(target => target.dataCentre === dataCentre).map(target => target.name);
    await run.sleep(settleMs);
    await runClosure(run, 4, targets, `/dataCentres/${dataCentre}/state`, ["out", "in"], () => inject(dataCentre));
}

/** A VM that leaves does not come back, so its target stays closed to the end of the run. */
async function runLeavingVms(run: ProofRun): Promise<void> {
    await run.sleep(settleMs);
    const agents = ["model", "plain"].map(kind =>
        run.pick(run.fleet.agents.filter(candidate => candidate.target?.kind === kind)),
    );
    const targets = agents.map(agent => agent.target?.name ?? "");
    run.recordFault(`VMs of ${targets.join(" and ")} leaving`);
    run.closures.push({ point: 8, targets, fromMs: Date.now(), toMs: Infinity });
    await run.fleet.setVms(agents.map(agent => agent.vmId));
    await run.sleep(outMs);
}

/** Closes targets by a change of the document for a while; the checks look at what began there. */
async function runClosure(
    run: ProofRun,
    point: 4 | 8,
    targets: readonly string[],
    path: string,
    [closed, open]: readonly [string, string],
    inject: () => Promise<void>,
): Promise<void> {
    run.recordFault(`${path} ${closed}`);
    const fault = inject();
    const change = await run.applyPatch([{ op: "replace", path, value: closed }]);
    const closure = { point, targets, fromMs: change.atMs, toMs: Infinity };
    run.closures.push(closure);
    await checkChangeInForce(run, change.offset, change.atMs);
    await Promise.all([fault, run.sleep(outMs)]);
    closure.toMs = Date.now();
    const back = await run.applyPatch([{ op: "replace", path, value: open }]);
    await checkChangeInForce(run, back.offset, back.atMs);
}
