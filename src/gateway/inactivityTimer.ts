import type { Disposable } from "../base/lifecycle.js";
import type { RouteConfiguration } from "./configuration.js";

/**
 * Inactivity limit of a stream as a multiple of its first-output objective, and between two events of its pause objective. Callers time
 * out after four objectives, so that a stream that hangs must be detected earlier.
 */
const streamObjectiveFactor = 2.2;
/** Inactivity limit of an idempotent plain request as a multiple of its objective; then another target is tried. */
const plainObjectiveFactor = 1.5;

/** Maximum time without output before a repeatable request is sent to another target; milliseconds. */
export function computeInactivityLimit(route: RouteConfiguration, hasStarted: boolean): number {
    if (route.kind !== "stream") {
        return plainObjectiveFactor * route.objectiveMs;
    }
    return streamObjectiveFactor * (hasStarted ? route.pauseObjectiveMs : route.objectiveMs);
}

/** Fires when no output was received within a limit. */
export class InactivityTimer implements Disposable {
    private timer: NodeJS.Timeout | undefined;

    public constructor(private readonly onDidExpire: () => void) {}

    /** Starts or restarts the timer. */
    public start(limitMs: number): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(this.onDidExpire, limitMs);
    }

    public stop(): void {
        clearTimeout(this.timer);
    }

    public dispose(): void {
        this.stop();
    }
}
