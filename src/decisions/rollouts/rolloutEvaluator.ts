import { RecentBaseline } from "./recentBaseline.js";
import { SequentialTest, type TestPlan } from "./sequentialTest.js";
import { zeroCounts, type RolloutEvidence, type RouteEvidence, type VersionCounts } from "./versionEvidence.js";

/**
 * Decides whether the version being rolled out is as good as the previous one.
 *
 * Load pattern: few requests reach the new version until it has been shown to be sound, and its faults may affect only
 * a part of the responses, one route, or appear after a while. All routes together reveal a small increase early; a
 * single route reveals a large increase with few requests.
 */

/** The assessment of the version by the evidence so far. */
export type RolloutVerdict =
    | "bad"
    /** The version was shown to be sound, with the error rates of the tests. */
    | "good"
    /** There is no evidence against the version, and some requests for it. */
    | "likely-good"
    | "open";

/** Increase of a rate over all routes that the test has to detect. */
const pooledIncrease = 0.1;
/** Increase that the test has to detect on a single route, which has fewer requests. */
const routeIncrease = 0.28;
const slownessIncrease = 0.3;
/** Increase of the previous version's rate beyond which its latest responses are no reference: half of that of a slow version. */
const maxRecentIncrease = slownessIncrease / 2;
/**
 * Even a sound version fails occasionally, and some of its responses are slow. These minimum rates also apply if its
 * baseline has no such events yet.
 */
const minFailureRate = 0.02;
const minSlowRate = 0.04;
/** A baseline with a higher rate has problems of its own and is no reference. */
const maxBaselineRate = 0.4;
const falseAlarmRate = 0.0005;
const missRate = 0.05;
/** Minimum requests before a version without observed faults counts as likely good. */
const minLikelySamples = 8;
/** Routes with a smaller fraction of all requests are only tested together with the others. */
const minRouteFraction = 0.03;

/** Within this time in milliseconds, routers report the same crash and detect whether the target has survived it. */
const disconnectWindowMs = 5_000;

interface RouteTests {
    readonly failures: SequentialTest;
    readonly slow: SequentialTest;
}

/** Evaluates the sum of the routers' reports as they arrive. */
export class RolloutEvaluator {
    /** The newest report of each router incarnation; the counts in it only increase. */
    private readonly reports = new Map<string, RolloutEvidence>();
    private readonly recentOfRouters = new Map<string, RecentBaseline>();
    /** Of all routers: more samples, in which the delay of a single router hardly shows. */
    private readonly recentOfFleet = new RecentBaseline();
    private readonly disconnectCountedAtMs = new Map<number, number>();
    private readonly pooled = createTests();
    private readonly routes = new Map<string, RouteTests>();
    private baseline = new Map<string, VersionCounts>();
    private candidate = new Map<string, VersionCounts>();

    /** Applies a router's complete report. `reporter` identifies the router's incarnation. */
    public apply(reporter: string, evidence: RolloutEvidence, nowMs: number): void {
        const before = this.reports.get(reporter);
        this.reports.set(reporter, evidence);
        let disconnects = this.countNewDisconnects(evidence, before, nowMs);
        const increases = evidence.routes.map(route =>
            computeIncrease(
                route,
                before?.routes.find(other => other.route === route.route),
            ),
        );
        const recent = this.recentOfRouters.get(reporter) ?? new RecentBaseline();
        this.recentOfRouters.set(reporter, recent);
        recent.observe(increases, nowMs);
        this.recentOfFleet.observe(increases, nowMs);
        for (const { route, baseline, candidate: added } of increases) {
            this.baseline.set(route, addCounts(this.baseline.get(route), baseline));
            this.candidate.set(route, addCounts(this.candidate.get(route), added));
            if (added.requests > 0 || added.failures > 0) {
                this.observeFailures(route, added, disconnects);
                this.observeSlow(route, added, recent);
                disconnects = 0;
            }
        }
    }

    public get verdict(): RolloutVerdict {
        const routes = [...this.routes].filter(([route]) => this.isTestedIndividually(route));
        const plans = this.createPlans();
        const results = routes.flatMap(([route, tests]) => {
            const { failures, slow } = this.createRoutePlans(route);
            return [tests.failures.getResult(failures), tests.slow.getResult(slow)];
        });
        results.push(this.pooled.failures.getResult(plans.failures), this.pooled.slow.getResult(plans.slow));
        if (results.includes("faulty") || this.hasFaultyRoute) {
            return "bad";
        }
        const unobserved = [...this.baseline.keys()].filter(
            route => this.isTestedIndividually(route) && !this.routes.has(route),
        );
        if (unobserved.length === 0 && results.every(result => result === "sound")) {
            return "good";
        }
        const tests = [this.pooled, ...routes.map(([, test]) => test)];
        const isLikely = tests.every(
            (test, index) =>
                test.failures.isLikelySound(index === 0 ? minLikelySamples : 1) && test.slow.isLikelySound(1),
        );
        return isLikely ? "likely-good" : "open";
    }

    /** Totals of both versions over all routes, for operators. */
    public get totals(): { readonly candidate: VersionCounts; readonly baseline: VersionCounts } {
        return { candidate: addAllCounts(this.candidate), baseline: addAllCounts(this.baseline) };
    }

    /** Totals by route, for operators. */
    public get routeTotals(): readonly RouteEvidence[] {
        return [...this.baseline].map(([route, baseline]) => ({
            route,
            baseline,
            candidate: this.candidate.get(route) ?? zeroCounts,
        }));
    }

    /** A detected fault remains in effect even while its route has too few requests to be tested individually. */
    private get hasFaultyRoute(): boolean {
        return [...this.routes].some(([route, { failures, slow }]) => {
            const plans = this.createRoutePlans(route);
            return failures.getResult(plans.failures) === "faulty" || slow.getResult(plans.slow) === "faulty";
        });
    }

    private observeFailures(route: string, { requests, failures }: VersionCounts, disconnects: number): void {
        const all = failures + disconnects;
        this.pooled.failures.observe(this.createPlans().failures, Math.max(requests, all), all);
        const { failures: plan } = this.createRoutePlans(route);
        this.getOrCreateTests(route).failures.observe(plan, Math.max(requests, failures), failures);
    }

    /** Compares with the previous version's responses at the same router in the same time, unless most of these are slow as well. */
    private observeSlow(route: string, { timed, slow }: VersionCounts, recent: RecentBaseline): void {
        const tests = this.getOrCreateTests(route);
        for (const [test, plan] of [
            [this.pooled.slow, this.createPlans().slow],
            [tests.slow, this.createRoutePlans(route).slow],
        ] as const) {
            const recentRate = Math.max(
                recent.computeSlowRate(route, plan.soundRate),
                this.recentOfFleet.computeSlowRate(route, plan.soundRate),
            );
            if (recentRate - plan.soundRate <= maxRecentIncrease) {
                test.observe(createPlan(Math.max(plan.soundRate, recentRate), slownessIncrease), timed, slow);
            }
        }
    }

    private getOrCreateTests(route: string): RouteTests {
        const tests = this.routes.get(route) ?? createTests();
        this.routes.set(route, tests);
        return tests;
    }

    /**
     * Counts at most one disconnect per target and window: a target that crashes disconnects the requests of all
     * routers, which is a single event.
     */
    private countNewDisconnects(evidence: RolloutEvidence, before: RolloutEvidence | undefined, nowMs: number): number {
        const counted = evidence.disconnects.filter(({ targetHash, disconnects: breaks }) => {
            const previousBreaks = before?.disconnects.find(other => other.targetHash === targetHash)?.disconnects ?? 0;
            const lastAtMs = this.disconnectCountedAtMs.get(targetHash) ?? Number.NEGATIVE_INFINITY;
            return breaks > previousBreaks && nowMs - lastAtMs >= disconnectWindowMs;
        });
        counted.forEach(({ targetHash }) => this.disconnectCountedAtMs.set(targetHash, nowMs));
        return counted.length;
    }

    private isTestedIndividually(route: string): boolean {
        const all = addAllCounts(this.baseline).requests;
        return (this.baseline.get(route)?.requests ?? 0) >= minRouteFraction * all;
    }

    private createPlans(): { readonly failures: TestPlan; readonly slow: TestPlan } {
        const total = addAllCounts(this.baseline);
        return {
            failures: createPlan(computeRate(total.failures, total.requests, minFailureRate), pooledIncrease),
            slow: createPlan(computeRate(total.slow, total.timed, minSlowRate), slownessIncrease),
        };
    }

    private createRoutePlans(route: string): { readonly failures: TestPlan; readonly slow: TestPlan } {
        const total = this.baseline.get(route) ?? zeroCounts;
        return {
            failures: createPlan(computeRate(total.failures, total.requests, minFailureRate), routeIncrease),
            slow: createPlan(computeRate(total.slow, total.timed, minSlowRate), slownessIncrease),
        };
    }
}

function createTests(): RouteTests {
    return { failures: new SequentialTest(), slow: new SequentialTest() };
}

function createPlan(soundRate: number, increase: number): TestPlan {
    return { soundRate, faultyRate: Math.min(0.98, soundRate + increase), falseAlarmRate, missRate };
}

/** The baseline's rate with some samples at the usual rate added, because the baseline has few samples at first. */
function computeRate(events: number, samples: number, usualRate: number): number {
    const priorSamples = 30;
    return Math.min(
        maxBaselineRate,
        Math.max(usualRate, (events + usualRate * priorSamples) / (samples + priorSamples)),
    );
}

function computeIncrease(route: RouteEvidence, previous: RouteEvidence | undefined): RouteEvidence {
    const difference = (now: VersionCounts, then: VersionCounts = zeroCounts): VersionCounts => ({
        requests: Math.max(0, now.requests - then.requests),
        failures: Math.max(0, now.failures - then.failures),
        timed: Math.max(0, now.timed - then.timed),
        slow: Math.max(0, now.slow - then.slow),
    });
    return {
        route: route.route,
        candidate: difference(route.candidate, previous?.candidate),
        baseline: difference(route.baseline, previous?.baseline),
    };
}

function addCounts(sum: VersionCounts = zeroCounts, added: VersionCounts): VersionCounts {
    return {
        requests: sum.requests + added.requests,
        failures: sum.failures + added.failures,
        timed: sum.timed + added.timed,
        slow: sum.slow + added.slow,
    };
}

function addAllCounts(counts: ReadonlyMap<string, VersionCounts>): VersionCounts {
    return [...counts.values()].reduce((sum, added) => addCounts(sum, added), zeroCounts);
}
