import sade from "sade";
import { BaselineSystem } from "./baseline/baseline.js";
import { costSizes, measureCycleMicroseconds } from "./cost.js";
import { Driver } from "./driver.js";
import { ProductSystem } from "./product.js";
import { scenarios } from "./scenarios.js";
import { printFigures } from "./table.js";

interface Options {
    readonly list?: boolean;
    readonly cost?: boolean;
    readonly scenario?: string;
    readonly seed: string | number;
    readonly json?: boolean;
}

/** Exit code for a wrong argument. */
const usageError = 2;

function main(options: Options): void {
    if (options.list === true) {
        scenarios.forEach(scenario => console.log(`${scenario.name.padEnd(26)}${scenario.description}`));
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

sade("bench", true)
    .describe("Measures the decisions against round robin with first-in-first-out queues, on a fake clock.")
    .option("--list", "List the scenarios")
    .option("--cost", "Measure the processor time of a router's decisions by size")
    .option("--scenario", "Run one scenario; all when left out")
    .option("--seed", "Seed of arrivals and chances; the same seed gives the same line", 1)
    .option("--json", "Print one JSON line per scenario")
    .action(main)
    .parse(process.argv);
