import type { CancellationToken } from "./cancellation.js";

/** Waits for a time, or less when the token is cancelled. */
export type Sleep = (ms: number, token: CancellationToken) => Promise<void>;

/** Sleeps on the runtime's timer. */
export const sleepOnTimer: Sleep = (ms, token) =>
    new Promise(resolve => {
        if (token.isCancelled) {
            resolve();
            return;
        }
        const finish = (): void => {
            clearTimeout(timer);
            subscription.dispose();
            resolve();
        };
        const timer = setTimeout(finish, ms);
        const subscription = token.onDidCancel(finish);
    });
