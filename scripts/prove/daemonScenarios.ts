import type { ProofRun } from "./proofRun.js";
import { usualPoints, type Scenario } from "./scenario.js";

const rounds = 2;
/** Longer than the lease of 10 s by which a home agent may start keyed calls. */
const pastLeaseMs = 12_000;
const settleMs = 1_500;

/** Faults of our own processes. */
export const daemonScenarios: readonly Scenario[] = [
    {
        name: "kill-router",
        summary: "kill -9 and restart of a router under load",
        points: usualPoints,
        run: async run => {
            for (let round = 0; round < rounds; round++) {
                const router = run.pick(run.fleet.routers);
                await run.sleep(settleMs);
                await run.stopHard(router);
                await run.sleep(settleMs);
                await run.startAgain(router);
            }
        },
    },
    {
        name: "kill-agent",
        summary: "kill -9 and restart of an agent of each kind under load",
        points: usualPoints,
        run: async run => {
            for (const kind of ["model", "plain"]) {
                const agent = run.pick(run.fleet.agents.filter(candidate => candidate.target?.kind === kind));
                await run.sleep(settleMs);
                await run.stopHard(agent);
                await run.sleep(settleMs);
                await run.startAgain(agent);
            }
        },
    },
    {
        name: "pause-agent",
        summary:
            "SIGSTOP of a plain service's agent past its lease, then SIGCONT, with keyed calls before, during and after",
        points: usualPoints,
        run: async run => {
            const agent = run.pick(run.fleet.agents.filter(candidate => candidate.target?.kind === "plain"));
            await run.sleep(settleMs);
            await run.stopForWhile(agent, pastLeaseMs);
        },
    },
    {
        name: "pause-replaced-agent",
        summary: "SIGSTOP of an agent; a second process takes over its target meanwhile; SIGCONT",
        points: usualPoints,
        run: runReplacement,
    },
    {
        name: "pause-router",
        summary: "SIGSTOP of a router past the leases, then SIGCONT",
        points: usualPoints,
        run: async run => {
            await run.sleep(settleMs);
            await run.stopForWhile(run.pick(run.fleet.routers), pastLeaseMs);
        },
    },
    {
        name: "planned-stop",
        summary: "SIGTERM and restart of each router and of an agent of each kind under load",
        points: [...usualPoints, 9],
        run: runPlannedStops,
    },
    {
        name: "repeat-keys",
        summary: "keyed calls repeated through another router while running, afterwards, after the home's restart",
        points: [6, 7],
        hasWorkload: false,
        options: { serviceArgs: ["--delay-ms", "400"] },
        run: runRepeats,
    },
];

async function runReplacement(run: ProofRun): Promise<void> {
    const agent = run.pick(run.fleet.agents.filter(candidate => candidate.target?.kind === "plain"));
    await run.sleep(settleMs);
    const paused = agent.process;
    run.recordFault(`SIGSTOP ${agent.name} while another process takes over`);
    paused.send("SIGSTOP");
    const replacement = await run.fleet.addReplacement(agent);
    await run.fleet.waitReady(replacement);
    await run.sleep(pastLeaseMs);
    paused.send("SIGCONT");
    await run.sleep(settleMs);
}

async function runPlannedStops(run: ProofRun): Promise<void> {
    run.expectNoCuts = true;
    const agents = ["model", "plain"].map(kind =>
        run.pick(run.fleet.agents.filter(candidate => candidate.target?.kind === kind)),
    );
    for (const daemon of [...run.fleet.routers, ...agents]) {
        await run.sleep(settleMs);
        run.recordFault(`SIGTERM ${daemon.name}`);
        daemon.process.send("SIGTERM");
        const exit = await daemon.process.exited;
        if (exit.code !== 0) {
            run.recordBreach(9, `${daemon.name} ended with ${exit.code ?? exit.signal} after SIGTERM`);
        }
        await run.startAgain(daemon);
    }
}

async function runRepeats(run: ProofRun): Promise<void> {
    const urls = run.fleet.routers.map(router => router.callersUrl ?? "");
    const keys = [...Array(8).keys()].map(index => `own-key-${index}-${run.random.next()}`);
    const body = "{}";
    const homes = new Set<string>();
    for (const key of keys) {
        const first = run.workload.sendTry("club", key, body, urls[0]);
        await run.sleep(50);
        await run.workload.sendTry("club", key, body, urls[1]);
        const { body: answer } = await first;
        if (typeof answer.target === "string") {
            homes.add(answer.target);
        }
        await run.workload.sendTry("club", key, body, urls[1]);
    }
    for (const home of homes) {
        const agent = run.fleet.getDaemon(`agent-${home}`);
        await run.stopHard(agent);
        await Promise.all(keys.map(key => run.workload.sendTry("club", key, body, run.pick(urls))));
        await run.startAgain(agent);
    }
    await Promise.all(keys.map(key => run.workload.sendTry("club", key, body, run.pick(urls))));
}
