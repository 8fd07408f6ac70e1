import { computeQuantile } from "./unevenFleet.js";
import { computeSum, isInTime, runPromptFleet, type AccountLoad, type PromptFleetOptions } from "./promptFleet.js";

const bodyBytes = 7_168;
const msPerSecond = 1_000;
/** Before this time engines serve parts that were placed while routers did not know one another; seconds. */
const startSeconds = 9;

/** 27 or so routers and 36 engines, spread evenly over four data centres. */
export const spreadFleet: PromptFleetOptions = {
    engine: { tokensPerMs: 85, chunkTokens: 2_048, stepMs: 3, tokensPerEvent: 9, cacheTokens: 200_000 },
    pauseObjectiveMs: 400,
    engineCount: 36,
    routerCount: 28,
    promisedShare: 8,
    copyMsPerToken: 0.008,
    returns: 1,
    dataCentres: { count: 4, homeFraction: 0.9, bodyBytes },
    runMs: 20_000,
    seed: 1,
};

/**
 * Accounts whose requests share long parts, with nine tenths of their callers at home. 58 % of all requests come from callers in the first
 * data centre. `rate`: requests a second of all accounts.
 */
export function createSpreadLoads(rate: number): readonly AccountLoad[] {
    const shared = { tokens: 13_300, subjects: 8, turnoverMs: 1_000 };
    const firstHomeFraction = 0.63;
    const homes = [0, 0, 0, 0, 1, 1, 2, 2, 3, 3];
    return homes.map((home, index) => ({
        account: `account-${index}`,
        rate: rate * (home === 0 ? firstHomeFraction / 4 : (1 - firstHomeFraction) / 6),
        promptTokens: 1_500,
        shared,
        home,
    }));
}

/** What the location of engines costs and saves. */
export interface SpreadFigures {
    /** Fraction of the requests sent to engines of another data centre. */
    readonly crossingFraction: number;
    readonly crossingMb: number;
    /** Tokens of shared parts that were prefilled again; millions. */
    readonly repeatedMillions: number;
    readonly requests: number;
    readonly answered: number;
    readonly inTime: number;
    /** Time to the first output; milliseconds. */
    readonly medianMs: number;
    readonly p95Ms: number;
}

/** Means over the seeds; `msPerKb`: undefined for a fixed cost of each request. */
export function measureSpread(
    rate: number,
    msPerKb: number | undefined,
    seeds: readonly number[],
    changes: Partial<PromptFleetOptions> = {},
): SpreadFigures {
    const all = seeds.map(seed => {
        const fleet = { ...spreadFleet, ...changes, seed };
        const outcome = runPromptFleet(
            {
                ...fleet,
                settings: { ...fleet.settings, ...(msPerKb !== undefined && { interDataCentreMsPerKb: msPerKb }) },
            },
            createSpreadLoads(rate),
        );
        const ended = outcome.ended.filter(({ askedAtMs }) => askedAtMs >= startSeconds * msPerSecond);
        const firstMs = ended.map(({ firstAtMs, askedAtMs }) => (firstAtMs ?? 0) - askedAtMs).sort((a, b) => a - b);
        const rows = [...outcome.seconds.values()].flatMap(all => all.slice(startSeconds));
        const sum = (figure: "crossing" | "admitted" | "requests"): number => computeSum(rows.map(row => row[figure]));
        return {
            crossingFraction: sum("crossing") / sum("admitted"),
            crossingMb: (sum("crossing") * bodyBytes) / 1e6,
            repeatedMillions: outcome.repeatedTokens / 1e6,
            requests: sum("requests"),
            answered: ended.length,
            inTime: ended.filter(stream => isInTime(stream, fleet.pauseObjectiveMs)).length,
            medianMs: computeQuantile(firstMs, 0.5),
            p95Ms: computeQuantile(firstMs, 0.95),
        };
    });
    const names = Object.keys(all[0]) as (keyof SpreadFigures)[];
    return Object.fromEntries(
        names.map(name => [name, computeSum(all.map(one => one[name])) / all.length]),
    ) as unknown as SpreadFigures;
}
