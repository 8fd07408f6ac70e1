import sade from "sade";
import { BaselineSystem } from "./baseline/baseline.js";
import { costSizes, measureCycleMicroseconds } from "./cost.js";
import { Driver } from "./driver.js";
import { measureFloods, printFloodFigures } from "./gateway/floodReport.js";
import { floodScenarios } from "./gateway/floods.js";
import { fleetSizes, measureSignals, noticedKinds, printSignalReport } from "./gateway/signalReport.js";
import {
    measureRollouts,
    printRolloutFigures,
    reportDelays,
    rolloutDisruptions,
    rolloutSizes,
    versionFaults,
    type RolloutSize,
} from "./gateway/rolloutReport.js";
import type { RolloutDisruption, VersionFault } from "./gateway/rolloutModel.js";
import { ProductSystem } from "./product.js";
import { scenarios } from "./scenarios.js";
import { printFigures } from "./table.js";

interface Options {
    readonly list?: boolean;
    readonly cost?: boolean;
    readonly floods?: boolean;
    readonly signals?: boolean;
    readonly rollouts?: boolean;
    readonly seeds: string | number;
    readonly scenario?: string;
    readonly seed: string | number;
    readonly json?: boolean;
}

/** Exit code for a wrong argument. */
const usageError = 2;

function main(options: Options): void {
    if (options.list === true) {
        const all = [...scenarios, ...floodScenarios];
        all.forEach(({ name, description }) => console.log(`${name.padEnd(28)}${description}`));
        return;
    }
    if (options.floods === true) {
        runFloods(options);
        return;
    }
    if (options.signals === true) {
        runSignals(options);
        return;
    }
    if (options.rollouts === true) {
        void runRollouts(options);
        return;
    }
    if (options.cost === true) {
        costSizes.forEach(size => {
            console.log(
                JSON.stringify({ ...size, microsecondsPerRequest: Math.round(measureCycleMicroseconds(size)) }),
            );
        });
        return;
    }
    const seed = Number(options.seed);
    const chosen = scenarios.filter(({ name }) => options.scenario === undefined || name === options.scenario);
    if (chosen.length === 0 || !Number.isSafeInteger(seed)) {
        console.error(`no scenario "${options.scenario}" or seed "${options.seed}"; see --list`);
        process.exitCode = usageError;
        return;
    }
    for (const scenario of chosen) {
        const product = new Driver(scenario, new ProductSystem(), seed).run();
        const baseline = new Driver(scenario, new BaselineSystem(), seed).run();
        const result = { scenario: scenario.name, seed, product, baseline };
        console.log(options.json === true ? JSON.stringify(result) : printFigures(result));
    }
}

function runFloods({ scenario: wanted, seeds, json }: Options): void {
    const seedCount = Number(seeds);
    const chosen = floodScenarios.filter(({ name }) => wanted === undefined || name === wanted);
    if (chosen.length === 0 || !Number.isSafeInteger(seedCount) || seedCount < 1) {
        console.error(`no scenario of floods "${wanted}" or number of seeds "${seeds}"; see --list`);
        process.exitCode = usageError;
        return;
    }
    for (const figures of chosen.flatMap(scenario => measureFloods(scenario, seedCount))) {
        console.log(json === true ? JSON.stringify(figures) : printFloodFigures(figures));
    }
}

/** All faults of a version at all sizes and ages of reports. */
async function runRollouts({ seeds, json }: Options): Promise<void> {
    for (const size of rolloutSizes) {
        for (const reportDelayMs of reportDelays) {
            for (const fault of versionFaults) {
                await printRollouts(size, fault, reportDelayMs, "none", { seeds, json });
            }
        }
        for (const disruption of rolloutDisruptions) {
            for (const fault of versionFaults) {
                await printRollouts(size, fault, reportDelays[0], disruption, { seeds, json });
            }
        }
    }
}

async function printRollouts(
    size: RolloutSize,
    fault: VersionFault,
    reportDelayMs: number,
    disruption: RolloutDisruption,
    { seeds, json }: Pick<Options, "seeds" | "json">,
): Promise<void> {
    const figures = await measureRollouts(size, fault, reportDelayMs, Number(seeds), disruption);
    console.log(json === true ? JSON.stringify(figures) : printRolloutFigures(figures));
}

/** Fleets of 4, 28 and 68 routers; one seed. */
function runSignals({ seed, json }: Options): void {
    for (const size of fleetSizes) {
        for (const report of noticedKinds.flatMap(noticed => measureSignals(size, noticed, Number(seed)))) {
            console.log(json === true ? JSON.stringify(report) : printSignalReport(report));
        }
    }
}

sade("bench", true)
    .describe("Measures the decisions against round robin with first-in-first-out queues, on a fake clock.")
    .option("--list", "List the scenarios")
    .option("--cost", "Measure the processor time of a router's decisions by size")
    .option("--scenario", "Run one scenario; all when left out")
    .option("--seed", "Seed of arrivals and chances; the same seed gives the same line", 1)
    .option("--floods", "Play accounts that flood routers whose news of one another is late, and exact")
    .option("--rollouts", "versions that are sound or bad, rolled out at fleets of several sizes")
    .option("--signals", "Play engines that leave or pause, as only their answers show, by fleet size")
    .option("--seeds", "With --floods: plays seeds 1 to this", 10)
    .option("--json", "Print one JSON line per scenario")
    .action(main)
    .parse(process.argv);
