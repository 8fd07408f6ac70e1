import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import {
    addAllowance,
    computeMaxEngineUsage,
    computeMaxUsage,
} from "../../../src/decisions/admission/promptAdmission.js";
import { minSentUsage, SpareAllowance, type SpareDenial } from "../../../src/decisions/admission/spareAllowance.js";

const windowMs = 400;
const stepMs = 20;

interface Step {
    readonly usage: number;
    readonly denial: SpareDenial | undefined;
}

/** Plays one decision each 20 ms; returns the allowance after each. */
function runSteps(allowance: SpareAllowance, steps: readonly Step[], fromMs = 0): readonly number[] {
    return steps.map(({ usage, denial }, index) => {
        const nowMs = fromMs + index * stepMs;
        allowance.update(usage, windowMs, nowMs);
        if (denial !== undefined) {
            allowance.recordDenial(denial, nowMs);
        }
        return allowance.current;
    });
}

function createSteps(step: Step, durationMs: number): readonly Step[] {
    return Array.from({ length: durationMs / stepMs + 1 }, () => step);
}

const pressed: Step = { usage: 0, denial: "over-share" };

describe("the allowance of an engine", () => {
    // An engine that stays idle while requests are refused because of their fraction.
    it("rises from zero to its maximum within a second of idleness", () => {
        const values = runSteps(new SpareAllowance(), createSteps(pressed, 1_100));
        expect([values[0], values[25], values[values.length - 1]].map(value => Number(value.toFixed(2)))).toEqual([
            0, 1.5, 3,
        ]);
    });

    it("falls twice as fast above the target as it rises below it", () => {
        const fallen = new SpareAllowance();
        runSteps(fallen, createSteps(pressed, 1_100));
        const [from, ...after] = runSteps(fallen, createSteps({ usage: 1, denial: "over-share" }, 100), 1_200);
        const risen = runSteps(new SpareAllowance(), createSteps({ usage: 0.7, denial: "over-share" }, 100));
        const fall = from - after[after.length - 1];
        expect(fall / risen[risen.length - 1]).toBeCloseTo(2);
    });

    // Prompts of accounts within their share must not be denied because the others fill the engine.
    it("is halved when a request within its account's share is denied", () => {
        const allowance = new SpareAllowance();
        runSteps(allowance, createSteps(pressed, 1_100));
        const before = allowance.current;
        allowance.recordDenial("within-share", 1_100);
        expect(allowance.current).toBe(before / 2);
    });

    // An engine that is filled to the target denies long prompts, of whichever account; those of accounts above the level then got the rest.
    it("ends for a time when a request below the fair level is denied", () => {
        const allowance = new SpareAllowance();
        runSteps(allowance, createSteps(pressed, 1_100));
        allowance.recordDenial("below-level", 1_100);
        expect(runSteps(allowance, createSteps(pressed, 260), 1_120).every(value => value === 0)).toBe(true);
        expect(runSteps(allowance, createSteps(pressed, 100), 1_400).at(-1)).toBeGreaterThan(0);
    });

    // The next overload would otherwise begin with the allowance of the last one, and not be levelled.
    it("is zero two seconds after the last denial", () => {
        const allowance = new SpareAllowance();
        runSteps(allowance, createSteps(pressed, 1_100));
        runSteps(allowance, createSteps({ usage: 0.2, denial: undefined }, 2_600), 1_120);
        expect(allowance.current).toBe(0);
    });

    it("does not rise without denials, or over a gap of which nothing is known", () => {
        const quiet = new SpareAllowance();
        runSteps(quiet, createSteps({ usage: 0, denial: undefined }, 1_000));
        const gap = new SpareAllowance();
        gap.recordDenial("over-share", 0);
        gap.update(0, windowMs, 0);
        gap.update(0, windowMs, 60_000);
        expect([quiet.current, gap.current]).toEqual([0, 0]);
    });

    it("estimates the time in which it rises by what a denied request lacks", () => {
        const allowance = new SpareAllowance();
        const estimateMs = allowance.estimateRiseMs(1.2, 0);
        runSteps(allowance, createSteps(pressed, estimateMs));
        expect([Number(allowance.current.toFixed(2)), allowance.estimateRiseMs(0.1, 0.9)]).toEqual([
            1.2,
            Number.POSITIVE_INFINITY,
        ]);
    });

    it("stays within its bounds, and a denial within a share never raises it", () => {
        const step = fc.record({
            usage: fc.double({ min: 0, max: 4, noNaN: true }),
            denial: fc.constantFrom("over-share" as const, "below-level" as const, "within-share" as const, undefined),
            gapMs: fc.integer({ min: -5, max: 3_000 }),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 80 }), steps => {
                const allowance = new SpareAllowance();
                let nowMs = 0;
                for (const { usage, denial, gapMs } of steps) {
                    nowMs += gapMs;
                    allowance.update(usage, windowMs, nowMs);
                    const before = allowance.current;
                    if (denial !== undefined) {
                        allowance.recordDenial(denial, nowMs);
                    }
                    const factors = { "over-share": 1, "within-share": 0.5, "below-level": 0 } as const;
                    expect(allowance.current).toBeLessThanOrEqual(
                        denial === undefined ? before : before * factors[denial],
                    );
                    expect(allowance.current).toBeGreaterThanOrEqual(0);
                    expect(before).toBeLessThanOrEqual(3);
                }
            }),
            { seed: 7, numRuns: 500 },
        );
    });
});

describe("the fraction of the limit with an allowance", () => {
    const surplus = fc.double({ min: 0, max: 5, noNaN: true });
    const allowed = fc.double({ min: 0, max: 3, noNaN: true });

    // Accounts with less of the surplus must be admitted before those with more, whatever the allowance.
    it("is never larger for the larger surplus, and never above the part for accounts beyond their share", () => {
        fc.assert(
            fc.property(surplus, surplus, allowed, (one, other, allowance) => {
                const [less, more] = [Math.min(one, other), Math.max(one, other)];
                const [fleetLess, fleetMore] = [less, more].map(value =>
                    addAllowance(computeMaxUsage({ share: 1, surplus: value, sumsAgeMs: 0 }, minSentUsage), allowance),
                );
                const [engineLess, engineMore] = [less, more].map(value =>
                    addAllowance(computeMaxEngineUsage(value, minSentUsage), allowance),
                );
                expect([fleetLess >= fleetMore, engineLess >= engineMore]).toEqual([true, true]);
                expect([fleetLess <= 0.95, fleetMore >= 0, engineMore >= 0]).toEqual([true, true, true]);
            }),
            { seed: 7, numRuns: 1_000 },
        );
    });

    it("is that without the setting at an allowance of zero", () => {
        fc.assert(
            fc.property(surplus, fc.double({ min: 0, max: 2, noNaN: true }), (value, share) => {
                const shareUse = { share, surplus: value, sumsAgeMs: 0 };
                expect([
                    addAllowance(computeMaxUsage(shareUse, minSentUsage), 0),
                    addAllowance(computeMaxEngineUsage(value, minSentUsage), 0),
                ]).toEqual([computeMaxUsage(shareUse), computeMaxEngineUsage(value)]);
            }),
            { seed: 7, numRuns: 1_000 },
        );
    });

    // Routers of earlier builds drop messages with a negative fraction.
    it("is not negative without the setting", () => {
        fc.assert(
            fc.property(surplus, value => {
                const usages = [
                    computeMaxUsage({ share: 1, surplus: value, sumsAgeMs: 0 }),
                    computeMaxEngineUsage(value),
                ];
                expect(Math.min(...usages)).toBeGreaterThanOrEqual(0);
            }),
            { seed: 7, numRuns: 500 },
        );
    });

    it("leaves requests within their account's share as they are", () => {
        const use = { share: 0.2, surplus: 0, sumsAgeMs: 0 };
        expect(addAllowance(computeMaxUsage(use, minSentUsage), 3)).toBe(computeMaxUsage(use));
    });

    // Accounts whose surplus differs share an engine: the allowance must settle where it fills the target, not oscillate between idle and full.
    it("settles close to the target while accounts press at any surplus", () => {
        const random = new SeededRandom(3);
        for (const lowest of [1.2, 1.5, 2, 2.4]) {
            const allowance = new SpareAllowance();
            const grants: { readonly atMs: number; readonly usage: number }[] = [];
            const used: number[] = [];
            for (let nowMs = 0; nowMs < 10_000; nowMs += 5) {
                const usage = grants.reduce((sum, grant) => sum + (nowMs - grant.atMs < windowMs ? grant.usage : 0), 0);
                allowance.update(usage, windowMs, nowMs);
                const share = { share: 2, surplus: lowest + random.next() * 0.3, sumsAgeMs: 0 };
                const maxUsage = addAllowance(computeMaxUsage(share, minSentUsage), allowance.current);
                if (usage === 0 || usage + 0.05 <= maxUsage) {
                    grants.push({ atMs: nowMs, usage: 0.1 });
                } else {
                    allowance.recordDenial("over-share", nowMs);
                }
                used.push(nowMs > 2_000 ? usage : Number.NaN);
            }
            const settled = used.filter(value => !Number.isNaN(value));
            const meanUsage = settled.reduce((sum, value) => sum + value, 0) / settled.length;
            expect(Math.abs(meanUsage - 0.85)).toBeLessThanOrEqual(0.07);
        }
    });
});
