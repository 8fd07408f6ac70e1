import { describe, expect, it } from "vitest";
import { AccountShares } from "../../../src/decisions/shares/accountShares.js";

const windowMs = 4_000;
const tokensPerSecond = 2_200_000;
const stepMs = 50;
const noPeers: readonly never[] = [];

/** Lets accounts ask, and get all they ask, in equal steps up to a time; tokens a second by account. */
function createShares(rates: Readonly<Record<string, number>>, fromMs: number, toMs: number): AccountShares {
    const shares = new AccountShares(windowMs);
    for (let nowMs = fromMs; nowMs < toMs; nowMs += stepMs) {
        for (const [account, rate] of Object.entries(rates)) {
            shares.recordRequested(account, (rate * stepMs) / 1_000, nowMs);
            shares.recordServed(account, (rate * stepMs) / 1_000, nowMs);
        }
    }
    return shares;
}

describe("an account's use of its fair share", () => {
    const flood = { flooding: 2_400_000, modest: 400_000, small: 100_000 };

    // One account asks for more than everything else together. After a whole window it has had more than its share, and those
    // that ask for less have not.
    it("is above one for a flooding account alone, once a window is full", () => {
        const shares = createShares(flood, 0, windowMs);
        const uses = Object.keys(flood).map(
            account => shares.computeUsage(account, noPeers, tokensPerSecond, windowMs).share,
        );
        expect(uses.map(use => use > 1)).toEqual([true, false, false]);
    });

    // The same flood begins with the traffic. For as long as less has been asked than a whole window's capacity, nobody counts
    // as beyond a share, and the flooding account fills all engines; others are then refused for seconds. What was seen:
    // 4.4 M tokens for one account within six seconds, beside 1.0 M of 2.4 M for another.
    it("is above one for a flooding account within the first second of traffic", () => {
        const atMs = 900;
        const shares = createShares(flood, 0, atMs);
        expect(shares.computeUsage("flooding", noPeers, tokensPerSecond, atMs).share).toBeGreaterThan(1);
    });

    // An account was quiet, and begins to flood. Over the window it has had little; it takes all engines for a second, in which
    // others beyond their share get nothing.
    it("is high for an account whose flood began less than a second ago, and low for one with a usual prompt", () => {
        const atMs = 5_750;
        const shares = createShares({ flooding: 2_400_000 }, 5_000, atMs);
        shares.recordRequested("modest", 20_000, 5_400);
        shares.recordServed("modest", 20_000, 5_400);
        const early = createShares({ first: 4_000_000, second: 4_000_000 }, 0, 4_000).listOwnAccounts(4_000);
        const peer = { ...early, ageMs: 0 };
        const uses = ["flooding", "modest"].map(
            account => shares.computeUsage(account, [peer], tokensPerSecond, atMs).share,
        );
        expect(uses[0]).toBeGreaterThan(0.75);
        expect(uses[1]).toBeLessThan(0.1);
    });

    // A router is restarted and hears from a peer what accounts got in the last four seconds. Compared with the moment that it has
    // been up itself, everybody would seem far beyond his share, and nearly all requests would be refused.
    it("counts the time that the fleet's sums cover, not that of a router just started", () => {
        const shares = new AccountShares(windowMs);
        shares.recordRequested("modest", 1_000, 0);
        const use = { asked: 1_600_000, served: 1_600_000, recentlyServed: 600_000 };
        const peer = { coveredMs: windowMs, ageMs: 0, accounts: new Map([["modest", use]]) };
        expect(shares.computeUsage("modest", [peer], tokensPerSecond, 100).share).toBeLessThan(1);
    });
});

describe("an account's use of the surplus", () => {
    // One account flooded until now, another begins. Over four seconds the first has had far more, and would get nothing until
    // that is made up for, while the second fills all engines: each second the first is refused beside it.
    it("is equal again soon after both get equal amounts", () => {
        const shares = createShares({ early: 2_000_000 }, 0, 4_000);
        for (let nowMs = 4_000; nowMs < 6_000; nowMs += stepMs) {
            for (const account of ["early", "late"]) {
                shares.recordRequested(account, 100_000, nowMs);
                shares.recordServed(account, 50_000, nowMs);
            }
        }
        const [early, late] = ["early", "late"].map(account =>
            shares.computeUsage(account, noPeers, tokensPerSecond, 6_000),
        );
        expect(early.share / late.share).toBeGreaterThan(1.5);
        expect(early.surplus).toBeCloseTo(late.surplus, 1);
    });
});
