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
