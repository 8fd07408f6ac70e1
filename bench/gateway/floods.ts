import type { AccountLoad, PromptFleetOptions } from "./promptFleet.js";

/** Accounts that flood a fleet whose routers tell one another what they gave. */
export interface FloodScenario {
    readonly name: string;
    readonly description: string;
    readonly fleet: PromptFleetOptions;
    readonly loads: readonly AccountLoad[];
}

/** Six routers before twelve engines, of which a quarter is lost. */
export const floodedFleet: PromptFleetOptions = {
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
export const threeFloods: readonly AccountLoad[] = [
    { account: "first", rate: 60, promptTokens: 9_000, fromMs: 3_000 },
    { account: "second", rate: 60, promptTokens: 7_000, fromMs: 7_000 },
    { account: "third", rate: 160, promptTokens: 4_000, fromMs: 11_000 },
    { account: "small", rate: 3, promptTokens: 4_000 },
];

/** Long prompts beside many short ones; the second flood ends before the run does. */
const longBesideShort: readonly AccountLoad[] = [
    { account: "long", rate: 30, promptTokens: 17_000, fromMs: 3_000 },
    { account: "short", rate: 300, promptTokens: 1_500, fromMs: 11_000, toMs: 17_500 },
    { account: "short", rate: 10, promptTokens: 1_500 },
    { account: "small", rate: 3, promptTokens: 4_000 },
];

/** Four accounts that ask for the same, one beginning after the other. */
const fourEqual: readonly AccountLoad[] = ["a", "b", "c", "d"].map((account, index) => ({
    account,
    rate: 50,
    promptTokens: 6_000,
    fromMs: index * 3_000,
}));

/** What `--floods` plays. */
export const floodScenarios: readonly FloodScenario[] = [
    {
        name: "three-floods",
        description: "three accounts flood one after the other; news each 400 ms",
        fleet: floodedFleet,
        loads: threeFloods,
    },
    {
        name: "three-floods-late-news",
        description: "the same with news each second",
        fleet: { ...floodedFleet, peerPeriodMs: 1_000 },
        loads: threeFloods,
    },
    {
        name: "three-floods-24-routers",
        description: "the same at 24 routers with news each 600 ms",
        fleet: { ...floodedFleet, routerCount: 24, peerPeriodMs: 600 },
        loads: threeFloods,
    },
    {
        name: "three-floods-large-promise",
        description: "three floods where operators promise more than is left after the loss",
        fleet: { ...floodedFleet, promisedShare: 0.9 },
        loads: threeFloods,
    },
    {
        name: "long-beside-short",
        description: "an account with long prompts floods beside one with short ones",
        fleet: floodedFleet,
        loads: longBesideShort,
    },
    { name: "four-equal", description: "four accounts ask for the same", fleet: floodedFleet, loads: fourEqual },
];
