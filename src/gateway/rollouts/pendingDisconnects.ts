import type { Target } from "../target.js";

interface PendingBreak {
    readonly route: string;
    readonly atMs: number;
}

/**
 * Requests that a target broke off, until it is known why.
 *
 * A target that crashes breaks all its requests, which says little of its version; one that goes on to answer requests that were sent
 * later has broken single answers.
 */
export class PendingDisconnects {
    private readonly byTarget = new Map<Target, PendingBreak[]>();

    public record(target: Target, route: string, atMs: number): void {
        const pending = this.byTarget.get(target) ?? [];
        pending.push({ route, atMs });
        this.byTarget.set(target, pending);
    }

    /** The target answered a request; returns the routes of those that it broke off before that request was sent. */
    public takeSurvived(target: Target, sentAtMs: number): readonly string[] {
        const pending = this.byTarget.get(target) ?? [];
        const survived = pending.filter(({ atMs }) => atMs < sentAtMs);
        if (survived.length > 0) {
            this.byTarget.set(
                target,
                pending.filter(({ atMs }) => atMs >= sentAtMs),
            );
        }
        return survived.map(({ route }) => route);
    }
}
