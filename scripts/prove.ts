import { parseArgs } from "node:util";
import { SeededRandom } from "../src/base/random.js";
import type { CallOutcome } from "../test/fakes/callers.js";
import type { FleetOptions } from "../test/fakes/fleet.js";
import { capacityScenarios } from "./prove/capacityScenarios.js";
import { checkRun } from "./prove/checks.js";
import { daemonScenarios } from "./prove/daemonScenarios.js";
import { fetchTargetEvidence } from "./prove/evidence.js";
import { networkScenarios } from "./prove/networkScenarios.js";
import { pairScenarios } from "./prove/pairScenarios.js";
import { platformScenarios } from "./prove/platformScenarios.js";
import { points, type Breach } from "./prove/point.js";
import { ProofRun } from "./prove/proofRun.js";
import type { Scenario } from "./prove/scenario.js";

const scenarios: readonly Scenario[] = [
    ...daemonScenarios,
    ...networkScenarios,
    ...platformScenarios,
    ...capacityScenarios,
    ...pairScenarios,
];

const usualOptions: FleetOptions = {
    dataCentres: 3,
    targetsPerDataCentre: 2,
    routers: 2,
    daemonFile: "dist/daemon/main.js",
    cuttable: true,
    engineArgs: ["--cold-ms", "1000", "--token-ms", "10"],
    serviceArgs: ["--delay-ms", "100"],
};
const usualLoad = {
    chats: { department: 6, middle: 3, club: 2 },
    calls: { department: 2, club: 2 },
    notes: { middle: 2 },
} as const;
const healedMs = 3_000;
const longestScenarioMs = 150_000;
const evidenceShown = 5;
const signalExitCode = 130;

/** What one scenario showed. */
interface ScenarioResult {
    readonly scenario: Scenario;
    readonly faults: number;
    readonly breaches: readonly Breach[];
    /** Set when the run could not be brought to its end: it proves nothing. */
    readonly failure: string | undefined;
}

const { values } = parseArgs({
    options: {
        list: { type: "boolean", default: false },
        seed: { type: "string", default: "1" },
        only: { type: "string" },
    },
});

async function runScenario(scenario: Scenario, seed: number): Promise<ScenarioResult> {
    const run = new ProofRun({ ...usualOptions, ...scenario.options }, new SeededRandom(seed));
    const timeout = new Promise<never>((...[, reject]) => {
        setTimeout(() => reject(new Error(`not ended within ${longestScenarioMs} ms`)), longestScenarioMs).unref();
    });
    try {
        await Promise.race([runFaults(scenario, run), timeout]);
        const breaches = checkRun(run, await fetchTargetEvidence(run));
        return { scenario, faults: run.faults.length, breaches, failure: undefined };
    } catch (error) {
        return { scenario, faults: run.faults.length, breaches: run.breaches, failure: String(error) };
    } finally {
        await run.fleet.close();
    }
}

async function runFaults(scenario: Scenario, run: ProofRun): Promise<void> {
    await run.fleet.start();
    run.observer.start();
    await run.waitForHomes();
    if (scenario.hasWorkload !== false) {
        run.workload.start(usualLoad);
    }
    await scenario.run(run);
    run.recordHealed();
    await run.sleep(healedMs);
    await run.workload.stop();
    await run.observer.stop();
    printAnswers(scenario, run);
}

/** What callers got, in one line; a run in which nothing was served or no fault was injected proves nothing. */
function printAnswers(scenario: Scenario, run: ProofRun): void {
    const { chats, calls, notes } = run.workload;
    const whole = chats.filter(chat => chat.whole).length;
    const answered = calls.filter(call => call.status === 200).length;
    const others = countBy([
        ...chats.filter(chat => !chat.whole).map(chat => `chat ${chat.failure} ${chat.execution ?? ""}`),
        ...calls
            .filter(call => call.status !== 200)
            .map(call => `${call.key.startsWith("lx1.") ? "issued" : "own"}-key ${formatProblem(call)}`),
        ...notes.filter(note => note.status !== 200).map(note => `note ${formatProblem(note)}`),
    ]);
    console.log(`  ${scenario.name}: ${run.faults.length} faults: ${run.faults.join("; ")}`);
    console.log(
        `    chats ${whole} whole of ${chats.length}, calls ${answered} answered of ${calls.length}; ${others}`,
    );
    const isIdle = whole + answered === 0 || (scenario.hasWorkload !== false && whole * answered === 0);
    if (isIdle || run.faults.length === 0) {
        throw new Error("nothing was served or no fault was injected");
    }
}

function formatProblem({ body }: CallOutcome): string {
    return typeof body.type === "string" ? `${body.type.split("/").at(-1)} ${String(body.execution)}` : "unreached";
}

function countBy(names: readonly string[]): string {
    const counts = new Map<string, number>();
    names.forEach(name => counts.set(name.trim(), (counts.get(name.trim()) ?? 0) + 1));
    return [...counts].map(([name, count]) => `${name} ${count}`).join(", ");
}

function printResult(result: ScenarioResult): void {
    const { scenario, breaches, failure } = result;
    if (failure !== undefined) {
        console.log(`  ${scenario.name}: NOT RUN to its end: ${failure}`);
    }
    for (const breach of breaches.slice(0, evidenceShown)) {
        console.log(`  ${scenario.name}: point ${breach.point}: ${breach.evidence}`);
    }
    if (breaches.length > evidenceShown) {
        console.log(`  ${scenario.name}: and ${breaches.length - evidenceShown} more breaches`);
    }
}

/** One line for each point of the brief; returns whether all that ran held. */
function printPoints(results: readonly ScenarioResult[]): boolean {
    let allHeld = true;
    for (const [index, name] of points.entries()) {
        const number = index + 1;
        const counted = results.filter(result => result.scenario.points.some(point => point === number));
        const ended = counted.filter(result => result.failure === undefined);
        const breaches = results.flatMap(result => result.breaches).filter(breach => breach.point === number);
        const faults = ended.reduce((sum, result) => sum + result.faults, 0);
        const failed = counted.length - ended.length;
        const verdict = breaches.length > 0 ? "BREACHED" : ended.length === 0 ? "not run" : "held";
        const rest = failed > 0 ? `, ${failed} not run to their end` : "";
        console.log(`${verdict.padEnd(8)} ${number}. ${name}: ${ended.length} runs, ${faults} faults${rest}`);
        allHeld &&= breaches.length === 0 && failed === 0;
    }
    return allHeld;
}

async function main(): Promise<number> {
    if (values.list) {
        scenarios.forEach(scenario => console.log(`${scenario.name.padEnd(24)} ${scenario.summary}`));
        return 0;
    }
    const chosen = scenarios.filter(scenario => values.only === undefined || scenario.name === values.only);
    if (chosen.length === 0) {
        console.error(`no scenario is named ${values.only}; see --list`);
        return 2;
    }
    const results: ScenarioResult[] = [];
    for (const scenario of chosen) {
        const result = await runScenario(scenario, Number(values.seed));
        printResult(result);
        results.push(result);
    }
    console.log(`seed ${values.seed}`);
    return printPoints(results) ? 0 : 1;
}

// Without this a signal would end the harness and leave its fleet running.
process.once("SIGTERM", () => process.exit(signalExitCode));
process.once("SIGINT", () => process.exit(signalExitCode));
process.exit(await main());
