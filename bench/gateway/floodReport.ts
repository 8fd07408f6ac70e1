import { findLeastPart } from "./fairness.js";
import type { FloodScenario } from "./floods.js";
import { computeSum, isInTime, runPromptFleet, type ExactNews } from "./promptFleet.js";

/** What a scenario gave over all seeds, with one kind of news. */
export interface FloodFigures {
    readonly scenario: string;
    /** Which news between routers was never late. */
    readonly exactNews: string;
    /** Least and median part of what it was owed that the worst served account got. */
    readonly leastPart: number;
    readonly medianPart: number;
    /** Plays in which it was less than half. */
    readonly playsBelowHalf: number;
    /** Prompt tokens let in, in thousands a second. */
    readonly servedPerSecond: number;
    /** Of the streams that ended. */
    readonly inTimeShare: number;
}

/** Late news as it is, and each kind exact: the difference is what its lateness costs. */
const newsKinds: readonly (readonly [string, ExactNews])[] = [
    ["none", { accounts: false, load: false }],
    ["accounts", { accounts: true, load: false }],
    ["load", { accounts: false, load: true }],
    ["both", { accounts: true, load: true }],
];
const half = 0.5;
const tokensPerUnit = 1_000;
const msPerSecond = 1_000;

/** Plays the scenario with each kind of news, over seeds 1 to `seedCount`. */
export function measureFloods(scenario: FloodScenario, seedCount: number): readonly FloodFigures[] {
    return newsKinds.map(([exactNews, news]) => measureNews(scenario, exactNews, news, seedCount));
}

/** The figures as a line of text. */
export function printFloodFigures(figures: FloodFigures): string {
    const { scenario, exactNews, leastPart, medianPart, playsBelowHalf, servedPerSecond, inTimeShare } = figures;
    const name = `${scenario.padEnd(28)}exact news: ${exactNews.padEnd(10)}`;
    const part = `least part ${leastPart.toFixed(2)}, median ${medianPart.toFixed(2)}, below half ${playsBelowHalf}`;
    return `${name}${part}; ${servedPerSecond} k tokens/s; in time ${inTimeShare.toFixed(2)}`;
}

function measureNews(scenario: FloodScenario, exactNews: string, news: ExactNews, seedCount: number): FloodFigures {
    const { fleet, loads } = scenario;
    const parts: number[] = [];
    let served = 0;
    let ended = 0;
    let inTime = 0;
    for (let seed = 1; seed <= seedCount; seed++) {
        const outcome = runPromptFleet({ ...fleet, exactNews: news, seed }, loads);
        parts.push(findLeastPart(outcome.seconds));
        served += computeSum([...outcome.seconds.values()].flat().map(second => second.served));
        ended += outcome.ended.length;
        inTime += outcome.ended.filter(stream => isInTime(stream, fleet.pauseObjectiveMs)).length;
    }
    parts.sort((a, b) => a - b);
    return {
        scenario: scenario.name,
        exactNews,
        leastPart: parts[0],
        medianPart: parts[Math.floor(parts.length / 2)],
        playsBelowHalf: parts.filter(part => part < half).length,
        servedPerSecond: Math.round((served * msPerSecond) / (fleet.runMs * seedCount * tokensPerUnit)),
        inTimeShare: inTime / Math.max(1, ended),
    };
}
