import { describe, expect, it } from "vitest";
import { AgentFleetDriver } from "./agentFleetDriver.js";

interface CallerStatistics {
    readonly started: number;
    readonly refusedAtOnce: number;
    readonly refusedLater: number;
    readonly waitMs: { readonly p50: number; readonly p95: number; readonly max: number };
}

/** Starts, refusals and waiting times of an account's requests since `fromMs`. */
function describeRequests(driver: AgentFleetDriver, clientAccount: string, fromMs: number): CallerStatistics {
    const starts = driver.starts.filter(start => start.clientAccount === clientAccount && start.atMs >= fromMs);
    const waits = starts.map(start => Math.round(start.waitMs)).sort((a, b) => a - b);
    const refused = driver.refusals.filter(
        refusal => refusal.clientAccount === clientAccount && refusal.atMs >= fromMs,
    );
    const getPercentile = (share: number): number =>
        waits[Math.min(waits.length - 1, Math.floor(share * waits.length))] ?? 0;
    const refusedLater = refused.filter(refusal => refusal.waitMs > 0).length;
    return {
        started: starts.length,
        refusedAtOnce: refused.length - refusedLater,
        refusedLater,
        waitMs: { p50: getPercentile(0.5), p95: getPercentile(0.95), max: getPercentile(1) },
    };
}

/** Offers one request of the account every `everyMs` for `durationMs`, alternately to the two agents. */
function runSteadyLoad(driver: AgentFleetDriver, clientAccount: string, everyMs: number, durationMs: number): void {
    let count = 0;
    driver.advance(durationMs, everyMs, () => {
        driver.offerRequest(count % 2, clientAccount, { deadlineAtMs: driver.nowMs + 10_000 });
        count += 1;
    });
}

const settleMs = 8_000;
const baseOptions = { agents: 2, maxConcurrent: 4, coldLimit: 2 };
const shortDemand = { promptTokens: 100, maxTokens: 25, generatedTokens: 25 };
const longDemand = { promptTokens: 2_000, maxTokens: 2_000, generatedTokens: 2_000 };

describe("Waiting times and shares under load", () => {
    // Guards against long waits of an account with a small load: a request of `club` waits for at most one slot to
    // become free, while `department` keeps a constant backlog beyond the targets' capacity.
    it("overload: a request of a lightly loaded account waits for at most one running request", () => {
        const driver = new AgentFleetDriver({ ...baseOptions, createDemand: () => shortDemand });
        driver.startBacklog("department");
        driver.advance(settleMs);
        runSteadyLoad(driver, "club", 500, 30_000);
        expect(describeRequests(driver, "club", settleMs)).toMatchInlineSnapshot(`
          {
            "refusedAtOnce": 0,
            "refusedLater": 0,
            "started": 59,
            "waitMs": {
              "max": 100,
              "p50": 100,
              "p95": 100,
            },
          }
        `);
        expect(driver.countIdleSlots()).toBe(0);
    });

    // Guards against late refusals: of a burst of 400 requests, those that cannot start in time are refused on arrival
    // rather than after waiting in the queue until their deadline; the rest is processed in order.
    it("burst: requests that can start in time wait, the rest is refused at once", () => {
        const driver = new AgentFleetDriver({ ...baseOptions, createDemand: () => shortDemand });
        driver.startBacklog("middle");
        driver.advance(settleMs);
        driver.stopBacklog("middle");
        for (let index = 0; index < 400; index += 1) {
            driver.offerRequest(index % 2, "department", { deadlineAtMs: driver.nowMs + 5_000 });
        }
        driver.advance(10_000);
        expect(describeRequests(driver, "department", settleMs)).toMatchInlineSnapshot(`
          {
            "refusedAtOnce": 210,
            "refusedLater": 6,
            "started": 184,
            "waitMs": {
              "max": 4630,
              "p50": 2430,
              "p95": 4430,
            },
          }
        `);
    });

    // Guards against shares that deviate from the weights, and waits beyond the deadline, in saturation: three accounts
    // together offer three times the targets' capacity.
    it("saturation: shares follow the weights, and most refusals are immediate", () => {
        const driver = new AgentFleetDriver({
            ...baseOptions,
            weights: { department: 4, middle: 2, club: 1 },
            createDemand: () => shortDemand,
        });
        driver.advance(settleMs);
        let count = 0;
        driver.advance(60_000, 25, () => {
            for (const clientAccount of ["department", "middle", "club"]) {
                driver.offerRequest(count % 2, clientAccount, { deadlineAtMs: driver.nowMs + 5_000 });
            }
            count += 1;
        });
        const statistics = ["department", "middle", "club"].map(account => describeRequests(driver, account, settleMs));
        expect(statistics).toMatchInlineSnapshot(`
          [
            {
              "refusedAtOnce": 879,
              "refusedLater": 40,
              "started": 1371,
              "waitMs": {
                "max": 4780,
                "p50": 4600,
                "p95": 4750,
              },
            },
            {
              "refusedAtOnce": 1594,
              "refusedLater": 64,
              "started": 686,
              "waitMs": {
                "max": 4780,
                "p50": 4580,
                "p95": 4750,
              },
            },
            {
              "refusedAtOnce": 1948,
              "refusedLater": 81,
              "started": 343,
              "waitMs": {
                "max": 4780,
                "p50": 4400,
                "p95": 4750,
              },
            },
          ]
        `);
    });

    // Guards against short requests that wait behind long ones. Long requests of `department`, ten seconds each, would
    // fill all slots; from the first short request on, a part of the slots is reserved for short ones. Only the first
    // short requests wait until a long one has ended (p95), the others start at once.
    it("long and short: short requests find a slot, and long ones use all slots when no short ones arrive", () => {
        const createDemand = ({ clientAccount }: { readonly clientAccount: string }): typeof shortDemand =>
            clientAccount === "department" ? longDemand : shortDemand;
        const driver = new AgentFleetDriver({ ...baseOptions, longFromCost: 4_000, createDemand });
        driver.startBacklog("department");
        driver.advance(30_000);
        const idleWithoutShort = driver.countIdleSlots();
        driver.offerRequest(0, "club");
        driver.offerRequest(1, "club");
        driver.advance(15_000, 250, () => undefined);
        const fromMs = driver.nowMs;
        runSteadyLoad(driver, "club", 500, 40_000);
        const shortRequests = describeRequests(driver, "club", fromMs);
        driver.advance(20_000);
        expect({
            shortRequests,
            idleWithoutShort,
            idleAfterShort: driver.countIdleSlots(),
        }).toMatchInlineSnapshot(`
          {
            "idleAfterShort": 0,
            "idleWithoutShort": 0,
            "shortRequests": {
              "refusedAtOnce": 0,
              "refusedLater": 0,
              "started": 80,
              "waitMs": {
                "max": 4500,
                "p50": 0,
                "p95": 3200,
              },
            },
          }
        `);
    });

    // Guards against credit accumulated while idle, with which an account could exclude the others: `club` is idle for
    // a minute while `department` is backlogged, and then keeps a backlog, too.
    it("return from idle: an account gets its present share, without the service missed while idle", () => {
        const driver = new AgentFleetDriver({
            ...baseOptions,
            weights: { department: 1, club: 1 },
            createDemand: () => shortDemand,
        });
        driver.startBacklog("department");
        driver.advance(60_000);
        driver.startBacklog("club");
        const fromMs = driver.nowMs;
        driver.advance(5_000);
        const started = ["department", "club"].map(account => describeRequests(driver, account, fromMs).started);
        expect(started).toMatchInlineSnapshot(`
          [
            101,
            103,
          ]
        `);
    });

    // Guards against stalls after a partition heals. Agent 0 is partitioned for two minutes; `middle` is backlogged at
    // the other agent only, `department` at both. Afterwards `department`, which is ahead, must still be served, and
    // `middle`, which is behind, must not get minutes of exclusive service.
    it("partition heals: the account behind catches up within the cap, and the one ahead is still served", () => {
        const driver = new AgentFleetDriver({
            ...baseOptions,
            weights: { department: 1, middle: 8 },
            createDemand: () => shortDemand,
        });
        driver.startBacklog("department");
        driver.startBacklog("middle", [1]);
        driver.advance(settleMs);
        driver.partitionedAgents.add(0);
        driver.advance(120_000);
        const lag = Math.round(driver.getDelivered("department") - driver.getDelivered("middle"));
        driver.partitionedAgents.clear();
        driver.startBacklog("middle");
        const fromMs = driver.nowMs;
        driver.advance(40_000);
        const starts = driver.starts.filter(start => start.clientAccount === "department" && start.atMs >= fromMs);
        const gaps = starts.map((start, index) => start.atMs - (starts[index - 1]?.atMs ?? fromMs));
        const startsAtEnd = starts.filter(start => start.atMs >= driver.nowMs - 10_000).length;
        const allStartsAtEnd = driver.starts.filter(start => start.atMs >= driver.nowMs - 10_000).length;
        expect({
            lag,
            maxStallMs: Math.round(Math.max(...gaps)),
            shareAtEndPercent: Math.round((100 * startsAtEnd) / allStartsAtEnd),
        }).toMatchInlineSnapshot(`
          {
            "lag": 503723,
            "maxStallMs": 6170,
            "shareAtEndPercent": 11,
          }
        `);
    });
});
