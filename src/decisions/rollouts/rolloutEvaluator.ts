import { SequentialTest, type TestPlan } from "./sequentialTest.js";
import { zeroCounts, type RolloutEvidence, type RouteEvidence, type VersionCounts } from "./versionEvidence.js";

/**
 * Whether the version that is rolled out is as good as the one before it.
 *
 * Load pattern: few requests reach the new version until it is shown to be sound, and what is wrong with it may show in a part of the
 * answers, on one route or after a while. All routes together show a small rise soon; each route by itself shows a large one
 * with few requests.
 */

/** What the evidence so far says of the version. */
export type RolloutVerdict =
    | "bad"
    /** Shown to be sound, with the tests' error rates. */
    | "good"
    /** Nothing speaks against it, and some requests for it. */
    | "likely-good"
    | "open";

/** Rise of a rate over all routes that has to be found. */
const pooledRise = 0.1;
/** The same on one route, which has fewer requests. */
const routeRise = 0.28;
const slownessRise = 0.3;
/** A sound version fails now and then, and some of its answers are slow; also one whose baseline shows none yet. */
const leastFailureRate = 0.02;
const leastSlowRate = 0.04;
/** A baseline that does worse is in trouble of its own, and no measure. */
const mostBaselineRate = 0.4;
const falseAlarmRate = 0.0005;
const missRate = 0.05;
/** Requests after which a version that shows no fault may count as likely good. */
const leastLikelySamples = 8;
/** A route with a smaller part of the requests is judged with all others only. */
const leastRoutePart = 0.03;

/** Within this time routers report one crash, and know whether the target has survived; milliseconds. */
const breakSpanMs = 5_000;

interface RouteTests {
    readonly failures: SequentialTest;
    readonly slow: SequentialTest;
}

/** Judges the sum of what routers report, as it comes in. */
export class RolloutEvaluator {
    /** The newest report of each router's incarnation; counts in it only rise. */
    private readonly reports = new Map<string, RolloutEvidence>();
    private readonly breakCountedAtMs = new Map<number, number>();
    private readonly pooled = createTests();
    private readonly routes = new Map<string, RouteTests>();
    private baseline = new Map<string, VersionCounts>();
    private candidate = new Map<string, VersionCounts>();

    /** Takes a router's report, whole; `reporter` names its incarnation. */
    public apply(reporter: string, evidence: RolloutEvidence, nowMs: number): void {
        const before = this.reports.get(reporter);
        this.reports.set(reporter, evidence);
        let breaks = this.countNewBreaks(evidence, before, nowMs);
        for (const route of evidence.routes) {
            const known = before?.routes.find(other => other.route === route.route);
            const { baseline, candidate: added } = computeIncrease(route, known);
            this.baseline.set(route.route, addCounts(this.baseline.get(route.route), baseline));
            this.candidate.set(route.route, addCounts(this.candidate.get(route.route), added));
            if (added.requests > 0 || added.failures > 0) {
                this.observe(route.route, added, breaks);
                breaks = 0;
            }
        }
    }

    public get verdict(): RolloutVerdict {
        const routes = [...this.routes].filter(([route]) => this.isJudgedAlone(route));
        const plans = this.createPlans();
        const results = routes.flatMap(([route, tests]) => {
            const { failures, slow } = this.createRoutePlans(route);
            return [tests.failures.getResult(failures), tests.slow.getResult(slow)];
        });
        results.push(this.pooled.failures.getResult(plans.failures), this.pooled.slow.getResult(plans.slow));
        if (results.includes("faulty") || this.hasFaultyRoute) {
            return "bad";
        }
        const unseen = [...this.baseline.keys()].filter(route => this.isJudgedAlone(route) && !this.routes.has(route));
        if (unseen.length === 0 && results.every(result => result === "sound")) {
            return "good";
        }
        const tests = [this.pooled, ...routes.map(([, test]) => test)];
        const isLikely = tests.every(
            (test, index) =>
                test.failures.isLikelySound(index === 0 ? leastLikelySamples : 1) && test.slow.isLikelySound(1),
        );
        return isLikely ? "likely-good" : "open";
    }

    /** Requests that the version got, and how many of them failed or were slow; for people. */
    public get totals(): { readonly candidate: VersionCounts; readonly baseline: VersionCounts } {
        return { candidate: addAll(this.candidate), baseline: addAll(this.baseline) };
    }

    /** Sums by route, for people. */
    public get routeTotals(): readonly RouteEvidence[] {
        return [...this.baseline].map(([route, baseline]) => ({
            route,
            baseline,
            candidate: this.candidate.get(route) ?? zeroCounts,
        }));
    }

    /** A fault stays one also while its route has too few requests to be judged alone. */
    private get hasFaultyRoute(): boolean {
        return [...this.routes].some(([route, { failures, slow }]) => {
            const plans = this.createRoutePlans(route);
            return failures.getResult(plans.failures) === "faulty" || slow.getResult(plans.slow) === "faulty";
        });
    }

    private observe(route: string, { requests, failures, timed, slow }: VersionCounts, breaks: number): void {
        const plans = this.createPlans();
        this.pooled.failures.observe(plans.failures, Math.max(requests, failures + breaks), failures + breaks);
        this.pooled.slow.observe(plans.slow, timed, slow);
        const tests = this.routes.get(route) ?? createTests();
        this.routes.set(route, tests);
        const routePlans = this.createRoutePlans(route);
        tests.failures.observe(routePlans.failures, Math.max(requests, failures), failures);
        tests.slow.observe(routePlans.slow, timed, slow);
    }

    /** At most one for each target and span: a target that crashes breaks the requests of all routers, and that is one event. */
    private countNewBreaks(evidence: RolloutEvidence, before: RolloutEvidence | undefined, nowMs: number): number {
        const counted = evidence.breaks.filter(({ targetHash, breaks }) => {
            const known = before?.breaks.find(other => other.targetHash === targetHash)?.breaks ?? 0;
            const lastAtMs = this.breakCountedAtMs.get(targetHash) ?? Number.NEGATIVE_INFINITY;
            return breaks > known && nowMs - lastAtMs >= breakSpanMs;
        });
        counted.forEach(({ targetHash }) => this.breakCountedAtMs.set(targetHash, nowMs));
        return counted.length;
    }

    private isJudgedAlone(route: string): boolean {
        const all = addAll(this.baseline).requests;
        return (this.baseline.get(route)?.requests ?? 0) >= leastRoutePart * all;
    }

    private createPlans(): { readonly failures: TestPlan; readonly slow: TestPlan } {
        const total = addAll(this.baseline);
        return {
            failures: createPlan(computeRate(total.failures, total.requests, leastFailureRate), pooledRise),
            slow: createPlan(computeRate(total.slow, total.timed, leastSlowRate), slownessRise),
        };
    }

    private createRoutePlans(route: string): { readonly failures: TestPlan; readonly slow: TestPlan } {
        const total = this.baseline.get(route) ?? zeroCounts;
        return {
            failures: createPlan(computeRate(total.failures, total.requests, leastFailureRate), routeRise),
            slow: createPlan(computeRate(total.slow, total.timed, leastSlowRate), slownessRise),
        };
    }
}

function createTests(): RouteTests {
    return { failures: new SequentialTest(), slow: new SequentialTest() };
}

function createPlan(soundRate: number, rise: number): TestPlan {
    return { soundRate, faultyRate: Math.min(0.98, soundRate + rise), falseAlarmRate, missRate };
}

/** The baseline's rate with some samples of the usual rate added, as it has few at first. */
function computeRate(events: number, samples: number, usual: number): number {
    const priorSamples = 30;
    return Math.min(mostBaselineRate, Math.max(usual, (events + usual * priorSamples) / (samples + priorSamples)));
}

function computeIncrease(route: RouteEvidence, known: RouteEvidence | undefined): RouteEvidence {
    const difference = (now: VersionCounts, then: VersionCounts = zeroCounts): VersionCounts => ({
        requests: Math.max(0, now.requests - then.requests),
        failures: Math.max(0, now.failures - then.failures),
        timed: Math.max(0, now.timed - then.timed),
        slow: Math.max(0, now.slow - then.slow),
    });
    return {
        route: route.route,
        candidate: difference(route.candidate, known?.candidate),
        baseline: difference(route.baseline, known?.baseline),
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

function addAll(counts: ReadonlyMap<string, VersionCounts>): VersionCounts {
    return [...counts.values()].reduce((sum, added) => addCounts(sum, added), zeroCounts);
}
