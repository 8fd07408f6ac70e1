import type { EngineSignalOptions, NoticedSignals, SignalFigures } from "./engineSignals.js";
import { computeSum, isInTime, runPromptFleet, type AccountLoad, type PromptFleetOptions } from "./promptFleet.js";

/** Routers and engines of a played fleet. */
export interface FleetSize {
    readonly routerCount: number;
    readonly engineCount: number;
}

/** What a fleet's callers got while engines left or paused. */
export interface SignalReport extends FleetSize, SignalFigures {
    readonly scenario: string;
    readonly noticed: NoticedSignals;
    readonly asked: number;
    /** Of the requests asked for. */
    readonly inTimeShare: number;
}

/** Sizes of the deployments that are played, today's and a large one. */
export const fleetSizes: readonly FleetSize[] = [
    { routerCount: 4, engineCount: 13 },
    { routerCount: 28, engineCount: 36 },
    { routerCount: 68, engineCount: 84 },
];
/** By how much routers take notice of. */
export const noticedKinds: readonly NoticedSignals[] = ["records", "own-answers", "answers-and-peers"];
const requestsPerEngine = 8;
const runMs = 10_000;
const atMs = 3_000;
/** Part of the engines that leave or pause. */
const affectedShare = 0.25;

/** Plays a quarter of the engines leaving, and then pausing. */
export function measureSignals(size: FleetSize, noticed: NoticedSignals, seed: number): readonly SignalReport[] {
    const count = Math.floor(size.engineCount * affectedShare);
    const leaving = { count, atMs, lingerMs: 4_000 };
    const pausing = { count, fromMs: atMs, toMs: atMs + 4_000, pauseMs: 2_000 };
    return [
        runScenario("leaving", size, { noticed, leaving }, seed),
        runScenario("pausing", size, { noticed, pausing }, seed),
    ];
}

/** The report as a line of text. */
export function printSignalReport(report: SignalReport): string {
    const { scenario, routerCount, noticed, sentToLeaving, sentLate, cut, turnedAway, sentInPause } = report;
    const name = `${scenario.padEnd(9)}${String(routerCount).padStart(3)} routers, noticed: ${noticed.padEnd(18)}`;
    const counts =
        scenario === "leaving"
            ? `sent there ${sentToLeaving}, late ${sentLate}, cut ${cut}`
            : `turned away ${turnedAway}, sent in pauses ${sentInPause}`;
    return `${name}${counts}; in time ${report.inTimeShare.toFixed(3)} of ${report.asked}`;
}

function runScenario(scenario: string, size: FleetSize, signals: EngineSignalOptions, seed: number): SignalReport {
    const fleet: PromptFleetOptions = {
        ...size,
        engine: { tokensPerMs: 48, chunkTokens: 2_048, stepMs: 4, tokensPerEvent: 9, cacheTokens: 420_000 },
        pauseObjectiveMs: 600,
        promisedShare: 1,
        copyMsPerToken: 0.005,
        returns: 1,
        runMs,
        seed,
        signals,
    };
    const outcome = runPromptFleet(fleet, createLoads(size));
    const asked = computeSum([...outcome.seconds.values()].flat().map(({ requests }) => requests));
    const inTime = outcome.ended.filter(stream => isInTime(stream, fleet.pauseObjectiveMs)).length;
    return { ...size, ...outcome.signals!, scenario, noticed: signals.noticed, asked, inTimeShare: inTime / asked };
}

function createLoads({ engineCount }: FleetSize): readonly AccountLoad[] {
    const rate = (engineCount * requestsPerEngine) / 2;
    const shared = { tokens: 6_000, subjects: engineCount };
    return [
        { account: "first", rate, promptTokens: 1_500, shared },
        { account: "second", rate, promptTokens: 1_500, shared },
    ];
}
