import type { CancellationToken } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";

/** A running daemon of either role. */
export interface Daemon extends Disposable {
    /** Graceful shutdown: takes nothing new, ends what is open, leaves the roster. The token cuts the waiting short. */
    stop(token: CancellationToken): Promise<void>;
}
