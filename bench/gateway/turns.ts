import type { AccountLoad, PromptFleetOptions } from "./promptFleet.js";

const runSeconds = 24;
const turnSeconds = 3;
const pressing = ["a", "b", "c", "d"];
const smallAccounts = 10;
/** Prompt tokens that the engines read in a second, in requests of the accounts that press. */
const requestsPerSecond = 170;
const msPerSecond = 1_000;

/** Eight routers before ten engines, whose refused callers return once. */
export const pressedFleet: PromptFleetOptions = {
    engine: { tokensPerMs: 85, chunkTokens: 2_048, stepMs: 3, tokensPerEvent: 9 },
    pauseObjectiveMs: 400,
    engineCount: 10,
    routerCount: 8,
    promisedShare: 0.6,
    returns: 1,
    runMs: runSeconds * msPerSecond,
    seed: 1,
};

/**
 * Accounts press in turns, two at a time, one of them with twice the requests of the other; ten small ones ask for little all the while.
 * `factor`: what is asked for, as a multiple of what the engines read.
 */
export function createTurns(factor: number): readonly AccountLoad[] {
    const turns = Array.from({ length: runSeconds / turnSeconds }, (...[, turn]) =>
        [2 / 3, 1 / 3].map((part, place) => ({
            account: pressing[(turn + place) % pressing.length],
            rate: requestsPerSecond * factor * part,
            promptTokens: 4_500,
            fromMs: turn * turnSeconds * msPerSecond,
            toMs: (turn + 1) * turnSeconds * msPerSecond,
        })),
    );
    const small = Array.from({ length: smallAccounts }, (...[, index]) => ({
        account: `small-${index}`,
        rate: 1.5,
        promptTokens: 3_000,
    }));
    return [...turns.flat(), ...small];
}

/** 24 routers before six engines whose streams tolerate short pauses, and which cache few of the shared parts. */
export const mixedFleet: PromptFleetOptions = {
    engine: { tokensPerMs: 40, chunkTokens: 2_048, stepMs: 6, tokensPerEvent: 5, cacheTokens: 250_000 },
    pauseObjectiveMs: 300,
    engineCount: 6,
    routerCount: 24,
    promisedShare: 0.4,
    returns: 1,
    runMs: 15_000,
    seed: 1,
};

/**
 * Two accounts with prompts of 17,000 tokens and two with prompts of a sixth of that press in turns of three seconds beside four small
 * ones. Each asks for a part of what the engines read also while the other one has its turn, so that it is refused something in each
 * second.
 */
export function createMixedTurns({ engine, engineCount, runMs }: PromptFleetOptions): readonly AccountLoad[] {
    const tokensPerMs = engine.tokensPerMs * engineCount;
    const long = { promptTokens: 3_500, shared: { tokens: 14_000, subjects: 60 } };
    const short = { promptTokens: 1_500, shared: { tokens: 1_500, subjects: 3 } };
    const pairs = [
        { accounts: ["long-a", "long-b"], prompt: long, requestsPerToken: 1 / 17_000, high: 0.7, low: 0.21 },
        { accounts: ["short-a", "short-b"], prompt: short, requestsPerToken: 1 / 2_600, high: 1, low: 0.2 },
    ];
    const turns = Array.from({ length: runMs / (turnSeconds * msPerSecond) }, (...[, turn]) =>
        pairs.flatMap(({ accounts, prompt, requestsPerToken, high, low }) =>
            accounts.map((account, index) => ({
                account,
                ...prompt,
                rate: tokensPerMs * msPerSecond * requestsPerToken * (turn % 2 === index ? high : low),
                fromMs: turn * turnSeconds * msPerSecond,
                toMs: (turn + 1) * turnSeconds * msPerSecond,
            })),
        ),
    );
    const small = Array.from({ length: 4 }, (...[, index]) => ({
        account: `small-${index}`,
        rate: 1.5,
        promptTokens: 3_000,
    }));
    return [...turns.flat(), ...small];
}
