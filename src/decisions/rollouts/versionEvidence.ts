/** What was observed of one version on one route; each count only rises. */
export interface VersionCounts {
    /** Sends that the target ran, or may have run. */
    readonly requests: number;
    /** Answers that were failures of the target, or were not whole. */
    readonly failures: number;
    /** Sends whose answer's time says something: neither broken off nor at a target that has just started. */
    readonly timed: number;
    /** Of these, answers that took several times as long as was to be expected. */
    readonly slow: number;
}

/** Both versions on one route, in the same time. */
export interface RouteEvidence {
    readonly route: string;
    readonly candidate: VersionCounts;
    readonly baseline: VersionCounts;
}

/** Broken connections at one target of the candidate version: a target that crashes breaks all of them at once. */
export interface TargetDisconnects {
    readonly targetHash: number;
    readonly breaks: number;
}

/** What one router has observed since it knows of the roll-out. */
export interface RolloutEvidence {
    readonly routes: readonly RouteEvidence[];
    readonly breaks: readonly TargetDisconnects[];
}

/** Counts before the first observation. */
export const zeroCounts: VersionCounts = { requests: 0, failures: 0, timed: 0, slow: 0 };

/** One send that has ended. */
export interface VersionSample {
    readonly route: string;
    readonly isCandidate: boolean;
    readonly targetHash: number;
    readonly result: "ok" | "failed" | "broken";
    /** Undefined: the time of the answer says nothing. */
    readonly isSlow: boolean | undefined;
}

/** Counts what a router observes of the two versions. */
export class EvidenceCounter {
    private readonly routes = new Map<string, RouteEvidence>();
    private readonly breaks = new Map<number, number>();

    public observe({ route, isCandidate, targetHash, result, isSlow }: VersionSample): void {
        const before = this.routes.get(route) ?? { route, candidate: zeroCounts, baseline: zeroCounts };
        const side = isCandidate ? "candidate" : "baseline";
        const counts = before[side];
        this.routes.set(route, {
            ...before,
            [side]: {
                requests: counts.requests + 1,
                failures: counts.failures + (result === "failed" ? 1 : 0),
                timed: counts.timed + (isSlow === undefined ? 0 : 1),
                slow: counts.slow + (isSlow === true ? 1 : 0),
            },
        });
        if (isCandidate && result === "broken") {
            this.breaks.set(targetHash, (this.breaks.get(targetHash) ?? 0) + 1);
        }
    }

    /** Requests that the target broke off turn out to be failures: it has answered later ones. */
    public recordDisconnectFailures(route: string, count: number): void {
        const before = this.routes.get(route);
        if (before !== undefined) {
            const { candidate } = before;
            const failures = candidate.failures + count;
            this.routes.set(route, { ...before, candidate: { ...candidate, failures } });
        }
    }

    public get evidence(): RolloutEvidence {
        return {
            routes: [...this.routes.values()],
            breaks: [...this.breaks].map(([targetHash, breaks]) => ({ targetHash, breaks })),
        };
    }
}
