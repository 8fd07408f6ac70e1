import { describe, expect, it } from "vitest";
import {
    computeSum,
    runPromptFleet,
    type AccountLoad,
    type AccountSecond,
    type PromptFleetOptions,
} from "../promptFleet.js";

/** Fairness is looked at over spans of this length. */
const spanSeconds = 6;
/** Of what an account asked, or of what the best served one got, whichever is less. */
const leastPart = 0.5;
const seeds = [1, 2, 3, 4, 5];

const fleet: PromptFleetOptions = {
    engine: { tokensPerMs: 48, chunkTokens: 2_048, stepMs: 4, tokensPerEvent: 9 },
    pauseObjectiveMs: 800,
    engineCount: 12,
    routerCount: 6,
    peerPeriodMs: 400,
    promisedShare: 0.55,
    lost: { count: 3, atMs: 15_500 },
    runMs: 20_000,
    seed: 1,
};

/** Three accounts flood, each beginning while the ones before it pay back; a small one asks for little all the while. */
const floods: readonly AccountLoad[] = [
    { account: "first", rate: 60, promptTokens: 9_000, fromMs: 3_000 },
    { account: "second", rate: 60, promptTokens: 7_000, fromMs: 7_000 },
    { account: "third", rate: 160, promptTokens: 4_000, fromMs: 11_000 },
    { account: "small", rate: 3, promptTokens: 4_000 },
];

/** The least part of what it is owed that any account got in any span in which it was refused something each second. */
function findLeastPart(seconds: ReadonlyMap<string, readonly AccountSecond[]>): number {
    const parts = [...seconds.values()].flatMap(own =>
        own.slice(spanSeconds - 1).map((...[, from]) => computePart(own, from, seconds)),
    );
    return Math.min(...parts);
}

function computePart(
    own: readonly AccountSecond[],
    from: number,
    seconds: ReadonlyMap<string, readonly AccountSecond[]>,
): number {
    const span = own.slice(from, from + spanSeconds);
    if (span.some(second => second.admitted === second.requests)) {
        return 1;
    }
    const owed = span.map((second, index) => {
        const best = Math.max(...[...seconds.values()].map(others => others[from + index].served));
        return Math.min(second.asked, best);
    });
    return computeSum(span.map(second => second.served)) / computeSum(owed);
}

/** The least part over all seeds. */
function computeLeastPart(routerCount: number, peerPeriodMs: number): number {
    const parts = seeds.map(seed =>
        findLeastPart(runPromptFleet({ ...fleet, routerCount, peerPeriodMs, seed }, floods).seconds),
    );
    return Math.min(...parts);
}

describe("accounts that flood one beside the other", () => {
    // Each second some of an account's requests are refused, and over six seconds it gets less than half of what its neighbour
    // gets. Three accounts flood, one after the other begins, and a quarter of the engines is lost on the way. Routers level
    // them by what each told the others last. All let in the account that was behind then, for a whole round, and none of the
    // others; in the next round another one. Shown by the same play with sums that are never late: none got less than half.
    // Besides, an account that was quiet takes the share of four seconds within its flood's first second.
    it.each([
        ["six routers each 400 ms", 6, 400],
        ["six routers each second", 6, 1_000],
        ["24 routers each 600 ms", 24, 600],
    ])("all get their part while %s tell one another what they gave", (...[, routerCount, peerPeriodMs]) => {
        expect(computeLeastPart(routerCount, peerPeriodMs)).toBeGreaterThanOrEqual(leastPart);
    });
});
