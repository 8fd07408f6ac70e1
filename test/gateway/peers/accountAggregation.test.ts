import { describe, expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { AccountAggregation, aggregationPeriodMs } from "../../../src/gateway/peers/accountAggregation.js";
import type { RouterCondition } from "../../../src/gateway/peers/peerMessage.js";

/** Two data centres; the first router of each has the most processor time. */
const routerIds = ["a-1", "a-2", "a-3", "b-1", "b-2"];
const servedOfEach = 10;

function createCondition(routerId: string): RouterCondition {
    const isLarge = routerId.endsWith("-1");
    return { dataCentre: routerId[0], processorShare: isLarge ? 0.675 : 0.243, utilization: 0, isWithdrawn: false };
}

/** Routers whose messages arrive at once, but those of silent ones. */
class Fleet {
    public readonly clock = new ManualClock();
    public readonly silent = new Set<string>();
    public readonly sent: string[] = [];
    private readonly conditions = new Map(routerIds.map(id => [id, createCondition(id)]));
    private readonly routers = new Map(routerIds.map(id => [id, this.createRouter(id)]));

    /** Lets some periods pass. */
    public run(periods: number): void {
        for (let period = 0; period < periods; period++) {
            this.sent.length = 0;
            for (const [senderId, router] of this.routers) {
                for (const { routerId, message } of this.silent.has(senderId) ? [] : router.createMessages()) {
                    this.sent.push(`${senderId} to ${routerId}: ${message.scope}`);
                    this.routers.get(routerId)?.applyMessage(senderId, message);
                }
            }
            this.clock.advance(aggregationPeriodMs);
        }
    }

    /** What a router knows of the others' use of one account. */
    public describeOthers(routerId: string): string {
        const others = this.routers.get(routerId)?.findOtherRouters();
        return others === undefined
            ? "none"
            : `${others.totals.accounts.get("north")?.served ?? 0} at ${others.routerHashes.size} routers`;
    }

    public startAgain(routerId: string): void {
        this.routers.set(routerId, this.createRouter(routerId));
    }

    private createRouter(ownId: string): AccountAggregation {
        const use = { asked: 20, served: servedOfEach, recentlyServed: servedOfEach };
        return new AccountAggregation({
            ownId,
            clock: this.clock,
            listOwnAccounts: () => ({ coveredMs: 4_000, accounts: new Map([["north", use]]) }),
            getCondition: () => createCondition(ownId),
            getConditions: () => new Map([...this.conditions].filter(([id]) => id !== ownId)),
        });
    }
}

describe("accounts' use summed up by data centre", () => {
    it("reaches every router, without its own part", () => {
        const fleet = new Fleet();
        fleet.run(3);
        expect([routerIds.map(id => fleet.describeOthers(id)), fleet.sent]).toMatchInlineSnapshot(`
          [
            [
              "40 at 4 routers",
              "40 at 4 routers",
              "40 at 4 routers",
              "40 at 4 routers",
              "40 at 4 routers",
            ],
            [
              "a-1 to b-1: data-centre",
              "a-1 to a-2: fleet",
              "a-1 to a-3: fleet",
              "a-2 to a-1: router",
              "a-3 to a-1: router",
              "b-1 to a-1: data-centre",
              "b-1 to b-2: fleet",
              "b-2 to b-1: router",
            ],
          ]
        `);
    });

    // Sums of an aggregator that is gone must not be used as if accounts had got nothing since.
    it("is not used once its aggregator is silent, until another one has taken its place", () => {
        const fleet = new Fleet();
        fleet.run(3);
        fleet.silent.add("a-1");
        const seen: string[] = [];
        for (const periods of [5, 2, 6]) {
            fleet.run(periods);
            seen.push(fleet.describeOthers("a-2"), fleet.describeOthers("a-3"));
        }
        expect(seen).toMatchInlineSnapshot(`
          [
            "40 at 4 routers",
            "40 at 4 routers",
            "none",
            "none",
            "10 at 1 routers",
            "10 at 1 routers",
          ]
        `);
    });

    // A report of the start before would be taken for a part of what others gave.
    it("is left aside by a router that has just started, while its earlier report is part of it", () => {
        const fleet = new Fleet();
        fleet.run(3);
        fleet.startAgain("a-2");
        const before = fleet.describeOthers("a-2");
        fleet.run(2);
        expect([before, fleet.describeOthers("a-2")]).toMatchInlineSnapshot(`
          [
            "none",
            "40 at 4 routers",
          ]
        `);
    });
});
