import { describe, expect, it } from "vitest";
import { PeerEstimate, type OwnSample } from "../../../src/decisions/shares/peerEstimate.js";

const windows = { windowMs: 4_000, recentMs: 1_500 };
const ageMs = 500;

/**
 * Half-second-old reports of three routers: the account requests 100 tokens per second at each, and half of them are
 * granted.
 */
const peers = Array.from({ length: 3 }, () => ({
    ageMs,
    accounts: new Map([["steady", { asked: 400, served: 200, recentlyServed: 75 }]]),
}));
const requestedOfThis = 400;

function estimate(account: string, own: OwnSample): object {
    const { asked, served, recentlyServed } = new PeerEstimate(peers, windows, requestedOfThis).estimate(account, own);
    return [asked, served, recentlyServed].map(Math.round);
}

describe("the estimated usage at the other routers since their last reports", () => {
    it("continues at the reported rate for an account that continues here", () => {
        expect(estimate("steady", { asked: 400, requestedSince: 50, servedSince: 25 })).toEqual([1_200, 600, 225]);
    });

    it("is lower if this router has begun to refuse the account", () => {
        expect(estimate("steady", { asked: 400, requestedSince: 50, servedSince: 0 })).toEqual([1_200, 525, 150]);
    });

    // An account starts a burst that the other routers' newest reports do not contain yet. Without an estimate it would
    // appear to have been served a fourth of the real amount, and every router would keep admitting it until the end of
    // the round.
    it("equals the usage at this router for an account that has just begun", () => {
        expect(estimate("new", { asked: 300, requestedSince: 300, servedSince: 200 })).toEqual([900, 600, 600]);
    });

    // Otherwise an account whose callers all reach this router would be limited to a part of its share.
    it("is zero for an account with steady requests to this router only", () => {
        expect(estimate("only-here", { asked: 400, requestedSince: 50, servedSince: 50 })).toEqual([0, 0, 0]);
    });

    it("grows with a burst here in the account's own proportion, not in that of all accounts", () => {
        const twice = { asked: 450, requestedSince: 100, servedSince: 100 };
        const [peer] = peers;
        const reportedAccounts = new Map([["narrow", { asked: 400, served: 400, recentlyServed: 150 }]]);
        const estimates = new PeerEstimate(
            [{ ...peer, accounts: reportedAccounts }, ...peers],
            windows,
            requestedOfThis,
        );
        expect(estimates.estimate("narrow", twice)).toEqual({ asked: 450, served: 450, recentlyServed: 200 });
    });

    it("is zero for an account with a burst of requests to this router only", () => {
        expect(estimate("only-here", { asked: 450, requestedSince: 100, servedSince: 100 })).toEqual([0, 0, 0]);
    });

    it("is the reported usage while the account requests nothing here", () => {
        expect(estimate("steady", { asked: 0, requestedSince: 0, servedSince: 0 })).toEqual([1_200, 600, 225]);
    });
});
