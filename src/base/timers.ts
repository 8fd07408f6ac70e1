import { toDisposable, type Disposable } from "./lifecycle.js";

/** Runs an action once after a time in milliseconds, unless it is disposed before. */
export type SetTimer = (ms: number, action: () => void) => Disposable;

/** Sets a timer of the runtime. */
export const setRuntimeTimer: SetTimer = (ms, action) => {
    const timer = setTimeout(action, ms);
    return toDisposable(() => clearTimeout(timer));
};

/**
 * Sets a timer whose action follows the next read of sockets. After a stall of the event loop, timers run before sockets are read, so that
 * a timer that waits for data would expire although the data has arrived.
 */
export const setTimerAfterReads: SetTimer = (ms, action) => {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => (immediate = setImmediate(action)), ms);
    return toDisposable(() => {
        clearTimeout(timer);
        clearImmediate(immediate);
    });
};
