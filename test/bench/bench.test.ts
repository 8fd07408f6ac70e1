import { describe, expect, it } from "vitest";
import { BaselineSystem } from "../../bench/baseline/baseline.js";
import { Driver } from "../../bench/driver.js";
import type { Figures } from "../../bench/metrics.js";
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

const getInvariants = ({ lost, startsAfterOut, startsOverColdLimit, ...figures }: Figures): unknown => ({
    lost,
    startsAfterOut,
    startsOverColdLimit,
    isGapUnderBound: figures.fairnessGap <= figures.fairnessBound,
});
const kept = { lost: 0, startsAfterOut: 0, startsOverColdLimit: 0, isGapUnderBound: true };

describe("benchmark", () => {
    it("loses nothing, breaks no limit and repeats itself while a data centre leaves and returns", () => {
        const scenario = createShort("datacentre-leave-return", 30_000);
        const figures = new Driver(scenario, new ProductSystem(), 1).run();
        expect(getInvariants(figures)).toEqual(kept);
        expect(JSON.stringify(new Driver(scenario, new ProductSystem(), 1).run())).toBe(JSON.stringify(figures));
    });

    it("shares a saturated fleet more evenly than round robin does", () => {
        const scenario = createShort("saturation", 60_000);
        const figures = new Driver(scenario, new ProductSystem(), 1).run();
        const baseline = new Driver(scenario, new BaselineSystem(), 1).run();
        expect(getInvariants(figures)).toEqual(kept);
        expect([baseline.lost, figures.fairnessGap < baseline.fairnessGap]).toEqual([0, true]);
    });
});
