import { zeroCounts, type VersionCounts } from "./versionEvidence.js";

/** Time in which the weight of a sample halves: the period of the routers' reports, as the delays in question last for about a second. */
const halfLifeMs = 250;
/** Samples at the usual rate that are added, since a router has few samples between two reports. */
const priorSamples = 2;

type TimedCounts = Pick<VersionCounts, "timed" | "slow">;

/**
 * Rate of slow responses of the previous version over the latest reports of one router, or of all.
 *
 * Load pattern: a router that is busy for a second measures the responses of both versions too late. Compared with the rate over the
 * whole roll-out, the responses of a sound version would count as slow.
 */
export class RecentBaseline {
    private total: TimedCounts = zeroCounts;
    private readonly routes = new Map<string, TimedCounts>();
    private observedAtMs = 0;

    /** Adds the counts of the previous version by which a router's report has increased, one entry per route. */
    public observe(
        increases: readonly { readonly route: string; readonly baseline: TimedCounts }[],
        nowMs: number,
    ): void {
        const weight = 0.5 ** ((nowMs - this.observedAtMs) / halfLifeMs);
        this.observedAtMs = nowMs;
        this.total = computeWeighted(this.total, weight);
        this.routes.forEach((counts, route) => this.routes.set(route, computeWeighted(counts, weight)));
        for (const { route, baseline } of increases) {
            this.total = addCounts(this.total, baseline);
            this.routes.set(route, addCounts(this.routes.get(route) ?? zeroCounts, baseline));
        }
    }

    /** Fraction of slow responses on the route, 0 to 1. `usualRate`: that of the whole roll-out. */
    public computeSlowRate(route: string, usualRate: number): number {
        return computeRate(this.routes.get(route) ?? zeroCounts, computeRate(this.total, usualRate));
    }
}

function computeWeighted({ timed, slow }: TimedCounts, weight: number): TimedCounts {
    return { timed: timed * weight, slow: slow * weight };
}

function addCounts(first: TimedCounts, second: TimedCounts): TimedCounts {
    return { timed: first.timed + second.timed, slow: first.slow + second.slow };
}

function computeRate({ timed, slow }: TimedCounts, usualRate: number): number {
    return (slow + usualRate * priorSamples) / (timed + priorSamples);
}
