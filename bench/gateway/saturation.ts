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

const largeShare = 1.35;
const smallShare = 0.243;

/** Four data centres of two large and five small routers, behind a balancer that sends callers to large and small ones alike. */
export const unevenFleet: PromptFleetOptions = {
    ...saturatedFleet,
    engineCount: 36,
    routerCount: 28,
    balancer: {
        routersPerDataCentre: 7,
        processorShares: [largeShare, largeShare, smallShare, smallShare, smallShare, smallShare, smallShare],
    },
    processor: { share: smallShare, readMs: 1.4, serveMs: 4, messageMs: 0.12 },
    patienceMs: 2_500,
    runMs: 8_000,
};

/** Half of the flood: the model draws at most one request of a load in a millisecond. */
const wideLoad: AccountLoad = {
    account: "wide",
    rate: 700,
    promptTokens: 3_000,
    shared: { tokens: 1_500, subjects },
};

const narrowLoad: AccountLoad = {
    account: "narrow",
    rate: 0,
    promptTokens: 3_000,
    shared: { tokens: 1_500, subjects },
    address: { dataCentre: 2, hash: 3 },
};

/** One account floods all routers; the callers of another one have one address, and so one router, a small one. */
export const unevenLoads: readonly AccountLoad[] = [
    wideLoad,
    wideLoad,
    { ...narrowLoad, rate: 15 },
    { ...narrowLoad, rate: 55, fromMs: 2_000 },
    ...Array.from({ length: smallAccounts }, (...[, index]) => ({
        account: `small-${index}`,
        rate: 6,
        promptTokens: 1_500,
        shared: { tokens: 1_000, subjects },
    })),
];
