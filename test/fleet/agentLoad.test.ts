import { describe, expect, it } from "vitest";
import { AgentFleetDriver } from "./agentFleetDriver.js";

interface CallerFigures {
    readonly started: number;
    readonly refusedAtOnce: number;
    readonly refusedLater: number;
    readonly waitMs: { readonly p50: number; readonly p95: number; readonly greatest: number };
}

/** What the callers of an account got since `fromMs`. */
function describeCallers(driver: AgentFleetDriver, clientAccount: string, fromMs: number): CallerFigures {
    const starts = driver.starts.filter(start => start.clientAccount === clientAccount && start.atMs >= fromMs);
    const waits = starts.map(start => Math.round(start.waitMs)).sort((a, b) => a - b);
    const refused = driver.refusals.filter(
        refusal => refusal.clientAccount === clientAccount && refusal.atMs >= fromMs,
    );
    const at = (share: number): number => waits[Math.min(waits.length - 1, Math.floor(share * waits.length))] ?? 0;
    const refusedLater = refused.filter(refusal => refusal.waitMs > 0).length;
    return {
        started: starts.length,
        refusedAtOnce: refused.length - refusedLater,
        refusedLater,
        waitMs: { p50: at(0.5), p95: at(0.95), greatest: at(1) },
    };
}

/** Sends one request of the account every `everyMs` for `forMs`, to the agents in turn. */
function runSteady(driver: AgentFleetDriver, clientAccount: string, everyMs: number, forMs: number): void {
    let count = 0;
    driver.advance(forMs, everyMs, () => {
        driver.offerRequest(count % 2, clientAccount, { deadlineAtMs: driver.nowMs + 10_000 });
        count += 1;
    });
}

const settleMs = 8_000;
const base = { agents: 2, maxConcurrent: 4, coldLimit: 2 };
const quick = { promptTokens: 100, maxTokens: 25, generatedTokens: 25 };
const rebuild = { promptTokens: 2_000, maxTokens: 2_000, generatedTokens: 2_000 };

describe("What callers get under load", () => {
    // The caller of a small club sees: its question waits for one slot to come free, no longer. The department keeps far
    // more waiting than the targets can do, for the whole time.
    it("flood: a club's question waits for a running request at most", () => {
        const driver = new AgentFleetDriver({ ...base, createDemand: () => quick });
        driver.startBacklog("department");
        driver.advance(settleMs);
        runSteady(driver, "club", 500, 30_000);
        expect(describeCallers(driver, "club", settleMs)).toMatchInlineSnapshot(`
          {
            "refusedAtOnce": 0,
            "refusedLater": 0,
            "started": 59,
            "waitMs": {
              "greatest": 100,
              "p50": 100,
              "p95": 100,
            },
          }
        `);
        expect(driver.countIdleSlots()).toBe(0);
    });

    // The callers see: a burst of 400 is worked off in turn; what cannot be in time is refused when it arrives, not after
    // its deadline has passed in the queue.
    it("burst: what can be in time waits, the rest is refused at once", () => {
        const driver = new AgentFleetDriver({ ...base, createDemand: () => quick });
        driver.startBacklog("middle");
        driver.advance(settleMs);
        driver.stopBacklog("middle");
        for (let index = 0; index < 400; index += 1) {
            driver.offerRequest(index % 2, "department", { deadlineAtMs: driver.nowMs + 5_000 });
        }
        driver.advance(10_000);
        expect(describeCallers(driver, "department", settleMs)).toMatchInlineSnapshot(`
          {
            "refusedAtOnce": 210,
            "refusedLater": 6,
            "started": 184,
            "waitMs": {
              "greatest": 4630,
              "p50": 2430,
              "p95": 4430,
            },
          }
        `);
    });

    // The callers see: in saturation each account gets its share, and nobody waits beyond the deadline. Three accounts
    // offer together three times what the targets can do.
    it("saturation: shares follow the weights, and refusals come at once", () => {
        const driver = new AgentFleetDriver({
            ...base,
            weights: { department: 4, middle: 2, club: 1 },
            createDemand: () => quick,
        });
        driver.advance(settleMs);
        let count = 0;
        driver.advance(60_000, 25, () => {
            for (const clientAccount of ["department", "middle", "club"]) {
                driver.offerRequest(count % 2, clientAccount, { deadlineAtMs: driver.nowMs + 5_000 });
            }
            count += 1;
        });
        const figures = ["department", "middle", "club"].map(account => describeCallers(driver, account, settleMs));
        expect(figures).toMatchInlineSnapshot(`
          [
            {
              "refusedAtOnce": 879,
              "refusedLater": 40,
              "started": 1371,
              "waitMs": {
                "greatest": 4780,
                "p50": 4600,
                "p95": 4750,
              },
            },
            {
              "refusedAtOnce": 1594,
              "refusedLater": 64,
              "started": 686,
              "waitMs": {
                "greatest": 4780,
                "p50": 4580,
                "p95": 4750,
              },
            },
            {
              "refusedAtOnce": 1948,
              "refusedLater": 81,
              "started": 343,
              "waitMs": {
                "greatest": 4780,
                "p50": 4400,
                "p95": 4750,
              },
            },
          ]
        `);
    });

    // The caller of a quick question sees: no wait behind route rebuilds. The department's rebuilds, ten seconds each, would
    // fill every slot; from the first question on a part of the slots is kept from them. Only the first questions wait until
    // some rebuild has ended (p95), the others find a slot.
    it("long among short: questions find a slot, and rebuilds get all slots when no questions come", () => {
        const createDemand = ({ clientAccount }: { readonly clientAccount: string }): typeof quick =>
            clientAccount === "department" ? rebuild : quick;
        const driver = new AgentFleetDriver({ ...base, longFromCost: 4_000, createDemand });
        driver.startBacklog("department");
        driver.advance(30_000);
        const idleWithoutQuestions = driver.countIdleSlots();
        driver.offerRequest(0, "club");
        driver.offerRequest(1, "club");
        driver.advance(15_000, 250, () => undefined);
        const fromMs = driver.nowMs;
        runSteady(driver, "club", 500, 40_000);
        const questions = describeCallers(driver, "club", fromMs);
        driver.advance(20_000);
        expect({
            questions,
            idleWithoutQuestions,
            idleAfterQuestions: driver.countIdleSlots(),
        }).toMatchInlineSnapshot(`
          {
            "idleAfterQuestions": 0,
            "idleWithoutQuestions": 0,
            "questions": {
              "refusedAtOnce": 0,
              "refusedLater": 0,
              "started": 80,
              "waitMs": {
                "greatest": 4500,
                "p50": 0,
                "p95": 3200,
              },
            },
          }
        `);
    });

    // The caller sees: after a rest its account has no credit with which to shut others out. The club rests for a minute
    // while the others are backlogged, then floods.
    it("return from idle: a rested account takes its share, not the share it missed", () => {
        const driver = new AgentFleetDriver({
            ...base,
            weights: { department: 1, club: 1 },
            createDemand: () => quick,
        });
        driver.startBacklog("department");
        driver.advance(60_000);
        driver.startBacklog("club");
        const fromMs = driver.nowMs;
        driver.advance(5_000);
        const started = ["department", "club"].map(account => describeCallers(driver, account, fromMs).started);
        expect(started).toMatchInlineSnapshot(`
          [
            101,
            103,
          ]
        `);
    });

    // The callers see: nobody stalls when a partition heals. Agent 0 was cut off for two minutes; the middle account was
    // backlogged on the other side only, the department on both. After the heal the department, which is ahead, must still
    // be served, and the account that lags must not get minutes of exclusive service.
    it("partition heals: the account that lags catches up within the cap, and the one ahead is still served", () => {
        const driver = new AgentFleetDriver({
            ...base,
            weights: { department: 1, middle: 8 },
            createDemand: () => quick,
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
        const last = starts.filter(start => start.atMs >= driver.nowMs - 10_000).length;
        const all = driver.starts.filter(start => start.atMs >= driver.nowMs - 10_000).length;
        expect({
            lag,
            longestStallMs: Math.round(Math.max(...gaps)),
            shareInTheEnd: Math.round((100 * last) / all),
        }).toMatchInlineSnapshot(`
          {
            "lag": 503723,
            "longestStallMs": 6170,
            "shareInTheEnd": 11,
          }
        `);
    });
});
