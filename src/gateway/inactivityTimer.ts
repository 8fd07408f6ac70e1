import type { Disposable } from "../base/lifecycle.js";
import type { RouteConfiguration } from "./configuration.js";

/**
 * A stream without any output for this many objectives is taken for hung: callers give up after four. The silence that
 * is allowed between two events is taken from the pause objective in the same way.
 */
const streamObjectives = 2.2;
/** An idempotent plain request is tried elsewhere after this many objectives. */
const plainObjectives = 1.5;

/** How long a target may stay silent before a repeatable request goes elsewhere; milliseconds. */
export function computeInactivityLimit(route: RouteConfiguration, hasBegun: boolean): number {
    if (route.kind !== "stream") {
        return plainObjectives * route.objectiveMs;
    }
    return streamObjectives * (hasBegun ? route.pauseObjectiveMs : route.objectiveMs);
}

/** Fires when nothing was received for a time. */
export class InactivityTimer implements Disposable {
    private timer: NodeJS.Timeout | undefined;

    public constructor(private readonly onDidExpire: () => void) {}

    /** Begins to wait anew, so that only silence counts. */
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
