import type { Target } from "../target.js";

interface PendingDisconnect {
    readonly route: string;
    readonly atMs: number;
}

/**
 * Requests whose target closed the connection early, kept until the cause is clear.
 *
 * A target that crashes disconnects all its requests, which is weak evidence against its version. A target that responds to requests
 * sent after the disconnect is still running, so it failed individual requests.
 */
export class PendingDisconnects {
    private readonly byTarget = new Map<Target, PendingDisconnect[]>();

    public record(target: Target, route: string, atMs: number): void {
        const pending = this.byTarget.get(target) ?? [];
        pending.push({ route, atMs });
        this.byTarget.set(target, pending);
    }

    /** For a target that responded to a request sent at `sentAtMs`: removes its earlier disconnects and returns their routes. */
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
