import { Emitter, type Event } from "./event.js";
import type { Disposable } from "./lifecycle.js";

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

/** An abort signal that follows the token, for libraries that take one. */
export function toAbortSignal(token: CancellationToken): AbortSignal {
    const controller = new AbortController();
    if (token.isCancelled) {
        controller.abort();
    } else {
        token.onDidCancel(() => controller.abort());
    }
    return controller.signal;
}
