import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { AccountShares, type ReportedRouter } from "../../../src/decisions/shares/accountShares.js";

const windowMs = 4_000;
const routerCount = 68;
const requestTokens = 9_000;
const tokensPerSecond = 2_400_000;
/** Requests per second of each of the two compared accounts, and of all others together. */
const rate = 8;
const otherRate = 600;
const otherAccounts = 20;
const grantedFraction = 0.6;
const reportPeriodMs = 1_100;
const shortReportPeriodMs = 50;
/** Two aggregation periods: one until a report is included in the totals, one until the totals are forwarded. */
const aggregatedPeriodMs = 200;
const warmUpMs = 5_000;
const runMs = 12_000;
const msPerSecond = 1_000;
const seeds = [1, 2, 3];
/**
 * An account whose estimated usage is this many times the real one is held back to half of another account's service.
 */
const maxRatio = 2;
/** An account whose estimated usage is this fraction of the real one receives twice another account's service. */
const minRatio = 0.5;
const movePeriodMs = 3_000;

interface Arrival {
    readonly account: string;
    readonly routerIndex: number;
}

/**
 * Mean surplus that routers compute for two accounts with equal requests and service; one of them uses only a few
 * routers.
 */
function computeMeanSurplus(
    seed: number,
    narrowReach: number,
    periodMs: number,
    moveMs = Number.POSITIVE_INFINITY,
): { readonly narrow: number; readonly wide: number } {
    const random = new SeededRandom(seed);
    const shares = Array.from({ length: routerCount }, () => new AccountShares(windowMs));
    const reports = shares.map(router => ({ ...router.listOwnAccounts(0), atMs: 0 }));
    const totals = new Map([
        ["narrow", { surplus: 0, requests: 0 }],
        ["wide", { surplus: 0, requests: 0 }],
    ]);
    const serve = ({ account, routerIndex }: Arrival, nowMs: number): void => {
        const router = shares[routerIndex];
        router.recordRequested(account, requestTokens, nowMs);
        const own = totals.get(account);
        if (own !== undefined && nowMs >= warmUpMs) {
            const peers: readonly ReportedRouter[] = reports
                .filter((...[, index]) => index !== routerIndex)
                .map(report => ({ ...report, ageMs: nowMs - report.atMs }));
            own.surplus += router.computeUsage(account, peers, tokensPerSecond, nowMs).surplus;
            own.requests += 1;
        }
        if (random.next() < grantedFraction) {
            router.recordServed(account, requestTokens, nowMs);
        }
    };
    const chooseRouter = (reach: number): number => Math.floor(random.next() * reach);
    for (let nowMs = 0; nowMs < runMs; nowMs++) {
        for (const [index, router] of shares.entries()) {
            if ((nowMs + Math.floor((index * periodMs) / routerCount)) % periodMs === 0) {
                reports[index] = { ...router.listOwnAccounts(nowMs), atMs: nowMs };
            }
        }
        if (random.next() < otherRate / msPerSecond) {
            const account = `other-${Math.floor(random.next() * otherAccounts)}`;
            serve({ account, routerIndex: chooseRouter(routerCount) }, nowMs);
        }
        if (random.next() < rate / msPerSecond) {
            const firstRouter = Math.floor(nowMs / moveMs) * narrowReach;
            serve({ account: "narrow", routerIndex: (firstRouter + chooseRouter(narrowReach)) % routerCount }, nowMs);
        }
        if (random.next() < rate / msPerSecond) {
            serve({ account: "wide", routerIndex: chooseRouter(routerCount) }, nowMs);
        }
    }
    const [narrow, wide] = [...totals.values()].map(({ surplus, requests }) => surplus / requests);
    return { narrow, wide };
}

function computeRatio(narrowReach: number, periodMs: number, moveMs?: number): number {
    const means = seeds.map(seed => computeMeanSurplus(seed, narrowReach, periodMs, moveMs));
    const narrow = means.reduce((sum, mean) => sum + mean.narrow, 0);
    return narrow / means.reduce((sum, mean) => sum + mean.wide, 0);
}

describe("two accounts with equal requests and service at 68 routers, one of them at few routers only", () => {
    // Requests to the other routers are estimated from this router's traffic. With the proportion of all traffic, each
    // burst of an account that reaches few routers would be counted for all of them.
    it.each([4, 1])(
        "have about the same estimated usage with totals that are one report period old, at %i of the routers",
        reach => {
            const ratio = computeRatio(reach, reportPeriodMs);
            expect(ratio).toBeLessThanOrEqual(maxRatio);
            expect(ratio).toBeGreaterThanOrEqual(minRatio);
        },
    );

    // A balancer moves the callers to another router, which has not seen the account and uses the proportion of all
    // traffic.
    it.fails("have about the same estimated usage while the callers of one move to another router", () => {
        expect(computeRatio(1, reportPeriodMs, movePeriodMs)).toBeLessThanOrEqual(maxRatio);
    });

    it("have about the same estimated usage while the callers of one move, with aggregated totals", () => {
        expect(computeRatio(1, aggregatedPeriodMs, movePeriodMs)).toBeLessThanOrEqual(maxRatio);
    });

    it.each([4, 1])("have about the same estimated usage with nearly current totals, at %i of the routers", reach => {
        expect(computeRatio(reach, shortReportPeriodMs)).toBeLessThanOrEqual(maxRatio);
    });
});
