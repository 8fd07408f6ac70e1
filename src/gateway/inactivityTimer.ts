import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import { setTimerAfterReads } from "../base/timers.js";
import type { RouteConfiguration } from "./configuration.js";

/**
 * Inactivity limit of a stream as a multiple of its first-output objective, and between two events of its pause objective. Callers time
 * out after four objectives, so that a stream that hangs must be detected earlier.
 */
const streamObjectiveFactor = 2.2;
/** Inactivity limit of an idempotent plain request as a multiple of its objective. */
const plainObjectiveFactor = 1.5;

/** Time without output after which a repeatable request is moved to another target, if one can take it; milliseconds. */
export function computeInactivityLimit(route: RouteConfiguration, hasStarted: boolean): number {
    if (route.kind !== "stream") {
        return plainObjectiveFactor * route.objectiveMs;
    }
    return streamObjectiveFactor * (hasStarted ? route.pauseObjectiveMs : route.objectiveMs);
}

/** How long the target of a request's last attempt had been silent, for the log. */
export interface SilenceDetails {
    /** Time since the target's last output, or since the request was written; milliseconds, undefined before it was written. */
    readonly silentMs: number | undefined;
    /** How late the timer last expired, as after a stall of the event loop; milliseconds, undefined if it has not expired. */
    readonly timerDelayMs: number | undefined;
}

/** Fires when no output was received within a limit. */
export class InactivityTimer implements Disposable {
    private timer: Disposable | undefined;
    private lastActiveAtMs: number | undefined;
    private delayMs: number | undefined;

    public constructor(
        private readonly clock: Clock,
        private readonly onDidExpire: () => void,
    ) {}

    public get details(): SilenceDetails {
        const silentMs = this.lastActiveAtMs === undefined ? undefined : this.silentMs;
        return { silentMs, timerDelayMs: this.delayMs };
    }

    /** Time since the target's last output, or since the request was written; milliseconds. */
    public get silentMs(): number {
        return this.clock.nowMs() - (this.lastActiveAtMs ?? Number.POSITIVE_INFINITY);
    }

    /** Monotonic time of the target's last output, or at which the request was written; milliseconds, undefined before. */
    public get activeAtMs(): number | undefined {
        return this.lastActiveAtMs;
    }

    /** Records output of the target, or that the request was written, and restarts the timer; without a limit it never expires. */
    public recordActivity(limitMs: number | undefined): void {
        this.timer?.dispose();
        this.lastActiveAtMs = this.clock.nowMs();
        if (limitMs !== undefined) {
            this.wait(limitMs);
        }
    }

    /** Fires after a further time without output; milliseconds. */
    public wait(ms: number): void {
        this.timer?.dispose();
        const dueAtMs = this.clock.nowMs() + ms;
        this.timer = setTimerAfterReads(ms, () => {
            this.delayMs = this.clock.nowMs() - dueAtMs;
            this.onDidExpire();
        });
    }

    public stop(): void {
        this.timer?.dispose();
    }

    public dispose(): void {
        this.stop();
    }
}
