import { LynxarchError } from "./errors.js";
import { Emitter, type Event } from "./event.js";
import type { Disposable } from "./lifecycle.js";
import { setTimerAfterReads } from "./timers.js";

/** A call got no answer in time. */
export class CallTimeoutError extends LynxarchError {
    public readonly code = "call-timed-out";

    public constructor(timeoutMs: number) {
        super(`no answer in ${timeoutMs} ms`);
    }
}

/** Tells work that its result is no longer wanted. */
export interface CancellationToken {
    readonly isCancelled: boolean;
    readonly onDidCancel: Event<void>;
}

/** Creates a token and cancels it. */
export class CancellationTokenSource implements Disposable {
    private readonly emitter = new Emitter<void>();
    private cancelled = false;
    public readonly token: CancellationToken;

    public constructor() {
        const isCancelled = (): boolean => this.cancelled;
        this.token = {
            get isCancelled() {
                return isCancelled();
            },
            onDidCancel: this.emitter.onDidFire,
        };
    }

    /** Cancels the token once; later calls do nothing. */
    public cancel(): void {
        if (this.cancelled) {
            return;
        }
        this.cancelled = true;
        this.emitter.fire();
    }

    public dispose(): void {
        this.emitter.dispose();
    }
}

/**
 * An abort signal that follows a token for the length of one call, for libraries that take a signal. Dispose it when the
 * call is over: a subscription left on a token that lives as long as the process would leak with every call.
 */
export class AbortScope implements Disposable {
    private readonly controller = new AbortController();
    private readonly subscription: Disposable;
    private readonly timer: Disposable | undefined;

    /** `timeoutMs`: aborts by itself after this time. */
    public constructor(token: CancellationToken, timeoutMs?: number) {
        this.subscription = token.onDidCancel(() => this.controller.abort());
        if (token.isCancelled) {
            this.controller.abort();
        }
        if (timeoutMs !== undefined) {
            this.timer = setTimerAfterReads(timeoutMs, () => this.controller.abort(new CallTimeoutError(timeoutMs)));
        }
    }

    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    public dispose(): void {
        this.subscription.dispose();
        this.timer?.dispose();
    }
}
