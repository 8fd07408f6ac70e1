import type { AccountLoad, PromptFleetOptions } from "./promptFleet.js";

const subjects = 20;
const smallAccounts = 20;

/** Twelve routers on a quarter of a core each before fifteen engines, whose refused callers return once. */
export const saturatedFleet: PromptFleetOptions = {
    engine: { tokensPerMs: 85, chunkTokens: 2_048, stepMs: 3, tokensPerEvent: 9, cacheTokens: 595_000 },
    pauseObjectiveMs: 400,
    engineCount: 15,
    routerCount: 12,
    promisedShare: 0.6,
    copyMsPerToken: 0.005,
    returns: 1,
    processor: { share: 0.243, readMs: 0.8, serveMs: 3, messageMs: 0.12 },
    runMs: 12_000,
    seed: 1,
};

/** One account floods all routers, another one the two that its callers reach; a third asks for much all the while. */
export const saturatingLoads: readonly AccountLoad[] = [
    { account: "wide", rate: 300, promptTokens: 2_500, shared: { tokens: 2_000, subjects }, fromMs: 3_000 },
    { account: "narrow", rate: 10, promptTokens: 2_500, shared: { tokens: 2_000, subjects }, reach: 2 },
    { account: "narrow", rate: 90, promptTokens: 2_500, shared: { tokens: 2_000, subjects }, reach: 2, fromMs: 4_000 },
    { account: "steady", rate: 85, promptTokens: 2_500, shared: { tokens: 2_000, subjects } },
    ...Array.from({ length: smallAccounts }, (...[, index]) => ({
        account: `small-${index}`,
        rate: 3.5,
        promptTokens: 1_500,
        shared: { tokens: 1_000, subjects },
    })),
];
