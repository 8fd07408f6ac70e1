import { toDisposable, type Disposable } from "./lifecycle.js";

/** Runs an action once after a time in milliseconds, unless it is disposed before. */
export type SetTimer = (ms: number, action: () => void) => Disposable;

/** Sets a timer of the runtime. */
export const setRuntimeTimer: SetTimer = (ms, action) => {
    const timer = setTimeout(action, ms);
    return toDisposable(() => clearTimeout(timer));
};
