import type { Target } from "../target.js";

/** A target that is sound may be silent for as long as this; milliseconds. */
const silenceMs = 2_000;

/**
 * Tells the first request that is stopped because its target is silent from the others of the same silence. A target that stands still for a
 * moment makes all its requests silent together, which is one event and not several failures of its version.
 */
export class SilentTargets {
    private readonly silentSinceMs = new WeakMap<Target, number>();

    /** Records a request that was stopped; returns whether it is the first one of the target's silence. */
    public recordStop(target: Target, nowMs: number): boolean {
        const sinceMs = this.silentSinceMs.get(target) ?? Number.NEGATIVE_INFINITY;
        if (nowMs - sinceMs < silenceMs) {
            return false;
        }
        this.silentSinceMs.set(target, nowMs);
        return true;
    }

    /** The target has completed a response, so that a request that is silent from now on is another event. */
    public recordResponse(target: Target): void {
        this.silentSinceMs.delete(target);
    }
}
