import { describe, expect, it } from "vitest";
import { computeSum, isInTime, runPromptFleet, type FleetOutcome } from "../../../bench/gateway/promptFleet.js";

const cacheTokens = 60_000;
const pauseObjectiveMs = 600;
const seeds = [1, 2, 3];
/** In the first seconds routers don't know one another, and engines have several owners. */
const startSeconds = 3;

/** Long prompts, of which an engine's memory holds about four, beside short ones, at 1.7 times what the engines read. */
function runLongPrompts(seed: number, limitsEngineMemory: boolean): FleetOutcome {
    const shared = { tokens: 3_000, subjects: 6 };
    return runPromptFleet(
        {
            engine: { tokensPerMs: 85, chunkTokens: 2_048, stepMs: 6, tokensPerEvent: 9, cacheTokens },
            pauseObjectiveMs,
            engineCount: 6,
            routerCount: 4,
            promisedShare: 0.6,
            returns: 2,
            settings: { limitsEngineMemory },
            runMs: 15_000,
            seed,
        },
        [
            { account: "long", rate: 40, promptTokens: 14_000, shared },
            { account: "short", rate: 12, promptTokens: 2_000, shared },
        ],
    );
}

function findPeak(outcomes: readonly FleetOutcome[]): number {
    return Math.max(...outcomes.flatMap(({ peakHeldTokens }) => peakHeldTokens.slice(startSeconds)));
}

function computeInTimeFraction(outcomes: readonly FleetOutcome[]): number {
    const ended = outcomes.flatMap(outcome => outcome.ended);
    return ended.filter(stream => isInTime(stream, pauseObjectiveMs)).length / ended.length;
}

function computeAdmitted(outcomes: readonly FleetOutcome[], account: string): number {
    const rows = outcomes.flatMap(({ seconds }) => seconds.get(account) ?? []);
    return computeSum(rows.map(row => row.admitted)) / computeSum(rows.map(row => row.requests));
}

describe("long prompts at engines with little memory", () => {
    const [without, limited] = [false, true].map(limits => seeds.map(seed => runLongPrompts(seed, limits)));

    // An engine would be sent more than twice what it can hold, and would preempt requests or crash.
    it("hold no more than nine tenths of the memory", () => {
        expect([findPeak(without) > cacheTokens * 2, findPeak(limited) <= cacheTokens * 0.9]).toEqual([true, true]);
    });

    // Memory is a bound of its own: accounts with short prompts must still be served.
    it("leave accounts with short prompts as many requests, and streams as often in time", () => {
        expect(computeAdmitted(limited, "short")).toBeGreaterThanOrEqual(0.95 * computeAdmitted(without, "short"));
        expect(computeInTimeFraction(limited)).toBeGreaterThanOrEqual(computeInTimeFraction(without));
    });
});
