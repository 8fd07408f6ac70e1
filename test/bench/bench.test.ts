import { describe, expect, it } from "vitest";
import { BaselineSystem } from "../../bench/baseline/baseline.js";
import { Driver } from "../../bench/driver.js";
import { ProductSystem } from "../../bench/product.js";
import type { Scenario } from "../../bench/scenario.js";
import { scenarios } from "../../bench/scenarios.js";

/** The scenario's first `untilMs`, so that CI takes seconds; faults are moved up. */
function createShort(name: string, untilMs: number): Scenario {
    const scenario = scenarios.find(candidate => candidate.name === name)!;
    const scale = untilMs / scenario.untilMs;
    return {
        ...scenario,
        untilMs,
        measureFromMs: scenario.measureFromMs * scale,
        faults: scenario.faults.map(fault => ({ ...fault, atMs: fault.atMs * scale })),
        accounts: scenario.accounts.map(account => ({
            ...account,
            load: account.load.map(phase => ({
                ...phase,
                fromMs: phase.fromMs * scale,
                untilMs: phase.untilMs * scale,
            })),
        })),
    };
}

describe("benchmark", () => {
    it.each(["datacentre-leave-return", "saturation"])("loses nothing and breaks no limit in %s", name => {
        const scenario = createShort(name, 30_000);
        const figures = new Driver(scenario, new ProductSystem(), 1).run();
        expect({
            lost: figures.lost,
            startsAfterOut: figures.startsAfterOut,
            startsOverColdLimit: figures.startsOverColdLimit,
            isGapUnderBound: figures.fairnessGap <= figures.fairnessBound,
        }).toEqual({ lost: 0, startsAfterOut: 0, startsOverColdLimit: 0, isGapUnderBound: true });
        expect(JSON.stringify(new Driver(scenario, new ProductSystem(), 1).run())).toBe(JSON.stringify(figures));
        expect(new Driver(scenario, new BaselineSystem(), 1).run().lost).toBe(0);
    });
});
