import { describe, expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { SeededRandom } from "../../../src/base/random.js";
import { AccountShares, type ReportedRouter } from "../../../src/decisions/shares/accountShares.js";
import { AccountAggregation, aggregationPeriodMs } from "../../../src/gateway/peers/accountAggregation.js";
import type { RouterCondition } from "../../../src/gateway/peers/peerMessage.js";

const windowMs = 4_000;
const routerCount = 68;
const requestTokens = 9_000;
const tokensPerSecond = 2_400_000;
/** Requests per second of the account that sends to all routers, and the fraction of them that is granted. */
const overloadRate = 950;
const overloadGrantedFraction = 0.12;
/** The same for an account whose callers reach only one router. */
const narrowRate = 160;
const narrowGrantedFraction = 0.25;
const routersPerDataCentre = 14;
/** Period of a router's reports to all others at this fleet size; used by routers without fresh totals. */
const meshPeriodMs = 1_300;
const warmUpMs = 4_000;
const runMs = 8_000;
const checkPeriodMs = 250;
const msPerSecond = 1_000;
/**
 * The service of accounts may differ by this factor, so the routers' estimates for one account must not differ by more.
 */
const maxFactor = 2;
const seeds = [1, 2, 3];

/** Ratios of the routers' surplus estimates for the overloading account to its exact surplus. */
function listFactors(seed: number): readonly number[] {
    const random = new SeededRandom(seed);
    const shares = Array.from({ length: routerCount }, () => new AccountShares(windowMs));
    const reports = shares.map(router => ({ ...router.listOwnAccounts(0), atMs: 0 }));
    const clock = new ManualClock();
    const aggregations = createAggregations(shares, clock);
    const factors: number[] = [];
    const serve = (account: string, routerIndex: number, fraction: number, nowMs: number): void => {
        shares[routerIndex].recordRequested(account, requestTokens, nowMs);
        if (random.next() < fraction) {
            shares[routerIndex].recordServed(account, requestTokens, nowMs);
        }
    };
    const computeSurplus = (routerIndex: number, peers: readonly ReportedRouter[], nowMs: number): number =>
        shares[routerIndex].computeUsage("overload", peers, tokensPerSecond, nowMs).surplus;
    for (let nowMs = 0; nowMs < runMs; nowMs++) {
        for (const [index, router] of shares.entries()) {
            if (isDue(index, meshPeriodMs, nowMs)) {
                reports[index] = { ...router.listOwnAccounts(nowMs), atMs: nowMs };
            }
            if (isDue(index, aggregationPeriodMs, nowMs)) {
                for (const { routerId, message } of aggregations[index].createMessages()) {
                    aggregations[Number(routerId)].applyMessage(String(index), message);
                }
            }
        }
        if (random.next() < overloadRate / msPerSecond) {
            serve("overload", Math.floor(random.next() * routerCount), overloadGrantedFraction, nowMs);
        }
        if (random.next() < narrowRate / msPerSecond) {
            serve("narrow", 0, narrowGrantedFraction, nowMs);
        }
        if (nowMs >= warmUpMs && nowMs % checkPeriodMs === 0) {
            const exact = shares.map(router => ({ ...router.listOwnAccounts(nowMs), ageMs: 0 }));
            for (const index of shares.keys()) {
                const others = aggregations[index].findOtherRouters();
                const reported = reports
                    .map(report => ({ ...report, ageMs: nowMs - report.atMs }))
                    .filter((...[, other]) => other !== index && others === undefined);
                const peers = others === undefined ? reported : [others.totals];
                factors.push(computeSurplus(index, peers, nowMs) / computeExactSurplus(exact, nowMs));
            }
        }
        clock.advance(1);
    }
    return factors;
}

/** Spreads the start of the routers' periods evenly. */
function isDue(index: number, periodMs: number, nowMs: number): boolean {
    return (nowMs + Math.floor((index * periodMs) / routerCount)) % periodMs === 0;
}

function createAggregations(shares: readonly AccountShares[], clock: ManualClock): readonly AccountAggregation[] {
    const conditions = shares.map((...[, index]): RouterCondition => ({
        dataCentre: `dc-${Math.floor(index / routersPerDataCentre)}`,
        processorShare: index % routersPerDataCentre === 0 ? 0.675 : 0.243,
        utilization: 0,
        isWithdrawn: false,
    }));
    return shares.map((router, index) => {
        const others = new Map(conditions.map((condition, other) => [String(other), condition]));
        others.delete(String(index));
        return new AccountAggregation({
            ownId: String(index),
            clock,
            listOwnAccounts: () => router.listOwnAccounts(clock.nowMs()),
            getCondition: () => conditions[index],
            getConditions: () => others,
        });
    });
}

/** Uses a separate instance, because a router caches its totals for some milliseconds. */
function computeExactSurplus(exact: readonly ReportedRouter[], nowMs: number): number {
    return new AccountShares(windowMs).computeUsage("overload", exact, tokensPerSecond, nowMs).surplus;
}

describe("68 routers that one account overloads", () => {
    // A router whose estimate for the account is too low admits it; with many routers there is always such a router.
    it("differ in their estimates of the account's usage by no more than the allowed factor", () => {
        const factors = seeds.flatMap(listFactors);
        expect(Math.min(...factors)).toBeGreaterThanOrEqual(1 / maxFactor);
        expect(Math.max(...factors)).toBeLessThanOrEqual(maxFactor);
    });
});
