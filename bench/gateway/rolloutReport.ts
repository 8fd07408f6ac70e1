import { RolloutModel, type RolloutDisruption, type RolloutOutcome, type VersionFault } from "./rolloutModel.js";

/** Size of a fleet that roll-outs are played on. */
export interface RolloutSize {
    readonly routers: number;
    readonly requestsPerSecond: number;
    readonly targetsOfEach: number;
}

/** Figures of one fault at one size, over several seeds. */
export interface RolloutFigures extends RolloutSize {
    readonly fault: VersionFault;
    readonly disruption: RolloutDisruption;
    readonly reportDelayMs: number;
    readonly runs: number;
    readonly completed: number;
    readonly rolledBack: number;
    /** Mean time to the end; milliseconds. */
    readonly endedAfterMs: number;
    /** Most requests that the version got, over the most that a bad one may get. */
    readonly worstExposure: number;
    readonly lateRequests: number;
}

/** Fleets of 4, 23, 68 and 360 routers. */
export const rolloutSizes: readonly RolloutSize[] = [
    { routers: 4, requestsPerSecond: 120, targetsOfEach: 13 },
    { routers: 23, requestsPerSecond: 265, targetsOfEach: 30 },
    { routers: 68, requestsPerSecond: 900, targetsOfEach: 90 },
    { routers: 360, requestsPerSecond: 4_000, targetsOfEach: 300 },
];

/** Ages of reports at their receiver; milliseconds. */
export const reportDelays = [100, 1_000, 5_000] as const;

export const versionFaults: readonly VersionFault[] = [
    "none",
    "none-crash",
    "none-busy",
    "fails-30",
    "fails-12",
    "fails-later",
    "fails-under-load",
    "fails-one-route",
    "slow-all",
    "slow-40",
    "breaks-30",
];

export const rolloutDisruptions: readonly RolloutDisruption[] = ["store-away", "answers-lost", "deciders-end"];

const durationMs = 12_000;

/** Plays one fault at one size with seeds 1 to `seeds`. */
export async function measureRollouts(
    size: RolloutSize,
    fault: VersionFault,
    reportDelayMs: number,
    seeds: number,
    disruption: RolloutDisruption = "none",
): Promise<RolloutFigures> {
    const outcomes: RolloutOutcome[] = [];
    for (let seed = 1; seed <= seeds; seed++) {
        outcomes.push(await new RolloutModel({ ...size, durationMs, reportDelayMs, fault, disruption, seed }).run());
    }
    const ended = outcomes.flatMap(({ endedAfterMs }) => (endedAfterMs === undefined ? [] : [endedAfterMs]));
    return {
        ...size,
        fault,
        disruption,
        reportDelayMs,
        runs: seeds,
        completed: outcomes.filter(({ state }) => state === "complete").length,
        rolledBack: outcomes.filter(({ state }) => state === "rolled-back").length,
        endedAfterMs: Math.round(ended.reduce((sum, ms) => sum + ms, 0) / Math.max(1, ended.length)),
        worstExposure: Math.max(...outcomes.map(({ exposed, mostExposed }) => exposed / mostExposed)),
        lateRequests: outcomes.reduce((sum, outcome) => sum + outcome.lateRequests, 0),
    };
}

/** One line of a table. */
export function printRolloutFigures(figures: RolloutFigures): string {
    const { routers, reportDelayMs, fault, disruption, runs, completed, rolledBack } = figures;
    return [
        `${routers} routers`.padEnd(12),
        `reports ${reportDelayMs} ms old`.padEnd(22),
        disruption.padEnd(14),
        fault.padEnd(18),
        `complete ${completed}, rolled back ${rolledBack} of ${runs}`.padEnd(36),
        `after ${(figures.endedAfterMs / 1_000).toFixed(1)} s`.padEnd(14),
        `exposure ${figures.worstExposure.toFixed(2)}`.padEnd(16),
        `late ${figures.lateRequests}`,
    ].join("");
}
