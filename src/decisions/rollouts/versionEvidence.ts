/** Counts of one version on one route; each count only increases. */
export interface VersionCounts {
    /** Requests that the target executed or may have executed. */
    readonly requests: number;
    /** Responses that were failures of the target or incomplete. */
    readonly failures: number;
    /** Requests with a meaningful response time: not disconnected, and not at a target that has just started. */
    readonly timed: number;
    /** Of the timed requests, those whose response took several times the expected time. */
    readonly slow: number;
}

/** Counts of both versions on one route over the same time. */
export interface RouteEvidence {
    readonly route: string;
    readonly candidate: VersionCounts;
    readonly baseline: VersionCounts;
}

/** Disconnects at one target of the candidate version. A target that crashes disconnects all its requests at once. */
export interface TargetDisconnects {
    readonly targetHash: number;
    readonly disconnects: number;
}

/** The counts of one router since it received the roll-out. */
export interface RolloutEvidence {
    readonly routes: readonly RouteEvidence[];
    readonly disconnects: readonly TargetDisconnects[];
}

/** Counts before the first observation. */
export const zeroCounts: VersionCounts = { requests: 0, failures: 0, timed: 0, slow: 0 };

/** The result of one request that has ended. */
export interface VersionSample {
    readonly route: string;
    readonly isCandidate: boolean;
    readonly targetHash: number;
    readonly result: "ok" | "failed" | "broken";
    /** Undefined if the response time is not meaningful. */
    readonly isSlow: boolean | undefined;
}

/** Counts a router's results for both versions. */
export class EvidenceCounter {
    private readonly routes = new Map<string, RouteEvidence>();
    private readonly disconnects = new Map<number, number>();

    public observe({ route, isCandidate, targetHash, result, isSlow }: VersionSample): void {
        const previous = this.routes.get(route) ?? { route, candidate: zeroCounts, baseline: zeroCounts };
        const side = isCandidate ? "candidate" : "baseline";
        const counts = previous[side];
        this.routes.set(route, {
            ...previous,
            [side]: {
                requests: counts.requests + 1,
                failures: counts.failures + (result === "failed" ? 1 : 0),
                timed: counts.timed + (isSlow === undefined ? 0 : 1),
                slow: counts.slow + (isSlow === true ? 1 : 0),
            },
        });
        if (isCandidate && result === "broken") {
            this.disconnects.set(targetHash, (this.disconnects.get(targetHash) ?? 0) + 1);
        }
    }

    /**
     * Counts disconnected requests as failures, because the target has responded to later requests and so did not
     * crash.
     */
    public recordDisconnectFailures(route: string, count: number): void {
        const previous = this.routes.get(route);
        if (previous !== undefined) {
            const { candidate } = previous;
            const failures = candidate.failures + count;
            this.routes.set(route, { ...previous, candidate: { ...candidate, failures } });
        }
    }

    public get evidence(): RolloutEvidence {
        return {
            routes: [...this.routes.values()],
            disconnects: [...this.disconnects].map(([targetHash, disconnects]) => ({
                targetHash,
                disconnects,
            })),
        };
    }
}
