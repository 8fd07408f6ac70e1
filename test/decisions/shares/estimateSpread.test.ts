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
/** Requests a second of the account that floods all routers, and the part of them that is granted. */
const floodRate = 950;
const floodGrantedPart = 0.12;
/** The same of an account whose callers reach one router. */
const narrowRate = 160;
const narrowGrantedPart = 0.25;
const routersPerDataCentre = 14;
/** Reports of a router to all others at this size; routers without fresh sums go by them. */
const meshPeriodMs = 1_300;
const warmUpMs = 4_000;
const runMs = 8_000;
const checkPeriodMs = 250;
const msPerSecond = 1_000;
/** Accounts may differ by this factor in what they get, so routers must not differ by more in what they believe of one. */
const mostFactor = 2;
const seeds = [1, 2, 3];

/** What routers compute as the flood's surplus, over what it is by exact sums. */
function listFactors(seed: number): readonly number[] {
    const random = new SeededRandom(seed);
    const shares = Array.from({ length: routerCount }, () => new AccountShares(windowMs));
    const reports = shares.map(router => ({ ...router.listOwnAccounts(0), atMs: 0 }));
    const clock = new ManualClock();
    const aggregations = createAggregations(shares, clock);
    const factors: number[] = [];
    const serve = (account: string, routerIndex: number, part: number, nowMs: number): void => {
        shares[routerIndex].recordRequested(account, requestTokens, nowMs);
        if (random.next() < part) {
            shares[routerIndex].recordServed(account, requestTokens, nowMs);
        }
    };
    const computeSurplus = (routerIndex: number, peers: readonly ReportedRouter[], nowMs: number): number =>
        shares[routerIndex].computeUsage("flood", peers, tokensPerSecond, nowMs).surplus;
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
        if (random.next() < floodRate / msPerSecond) {
            serve("flood", Math.floor(random.next() * routerCount), floodGrantedPart, nowMs);
        }
        if (random.next() < narrowRate / msPerSecond) {
            serve("narrow", 0, narrowGrantedPart, nowMs);
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

/** Routers begin their periods one after the other. */
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

/** By books of its own, as a router keeps its sums for some milliseconds. */
function computeExactSurplus(exact: readonly ReportedRouter[], nowMs: number): number {
    return new AccountShares(windowMs).computeUsage("flood", exact, tokensPerSecond, nowMs).surplus;
}

describe("68 routers that an account floods", () => {
    // Where one believes the account to be far behind, it is let in; at many routers there is always such a one.
    it("differ by no more than accounts may in what they believe that it has had", () => {
        const factors = seeds.flatMap(listFactors);
        expect(Math.min(...factors)).toBeGreaterThanOrEqual(1 / mostFactor);
        expect(Math.max(...factors)).toBeLessThanOrEqual(mostFactor);
    });
});
