import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { AgentFleetDriver, type FleetOptions } from "./agentFleetDriver.js";

const settleMs = 8_000;

/** Maximum service of one account that started in any window of `windowMs`, divided by weight. */
function findMaxServiceInWindow(driver: AgentFleetDriver, clientAccount: string, windowMs: number): number {
    const starts = driver.starts.filter(start => start.clientAccount === clientAccount);
    let maxService = 0;
    let service = 0;
    let first = 0;
    for (const start of starts) {
        service += start.normalizedCost;
        for (
            let oldest = starts[first];
            oldest !== undefined && oldest.atMs < start.atMs - windowMs;
            oldest = starts[first]
        ) {
            service -= oldest.normalizedCost;
            first += 1;
        }
        maxService = Math.max(maxService, service);
    }
    return maxService;
}

interface GapStatistics {
    readonly gap: number;
    readonly bound: number;
    readonly idleSlotSamples: number;
}

interface ObservationOptions {
    readonly durationMs: number;
    /** Service that is compared: as delivered by the targets, or as charged by the agents. */
    readonly basis: "delivered" | "charged";
    readonly restarts: readonly { readonly agent: number; readonly atMs: number }[];
}

/**
 * Measures the maximum gap in service between any two of the accounts, which are all backlogged, and its bound. The
 * bound is the sum over the two accounts of: one start out of order (the maximum cost); the service that agents may
 * start while the claims about it are in transit; and, for delivered service, twice the cost of the running requests,
 * as charge and delivery of a request differ by no more than its estimate. Each restart adds the runs that it aborts
 * and the charges that were not reported before.
 */
function measureGap(
    driver: AgentFleetDriver,
    accounts: readonly string[],
    observation: ObservationOptions,
): GapStatistics {
    const getService = (account: string): number =>
        observation.basis === "delivered" ? driver.getDelivered(account) : driver.getCharged(account);
    const base = new Map(accounts.map(account => [account, getService(account)]));
    const outstanding = new Map(accounts.map(account => [account, driver.getOutstanding(account)]));
    const startMs = driver.nowMs;
    const restarts = [...observation.restarts].sort((a, b) => a.atMs - b.atMs);
    let gap = 0;
    let idleSlotSamples = 0;
    driver.advance(observation.durationMs, 50, () => {
        const gained = accounts.map(account => getService(account) - (base.get(account) ?? 0));
        gap = Math.max(gap, Math.max(...gained) - Math.min(...gained));
        idleSlotSamples += driver.countIdleSlots() > 0 ? 1 : 0;
        accounts.forEach(account =>
            outstanding.set(account, Math.max(outstanding.get(account) ?? 0, driver.getOutstanding(account))),
        );
        while (restarts[0] !== undefined && restarts[0].atMs <= driver.nowMs - startMs) {
            driver.startAgainWithoutState(restarts.shift()?.agent ?? 0);
        }
    });
    const parts = accounts.map(account => {
        const costs = driver.starts.filter(start => start.clientAccount === account).map(start => start.normalizedCost);
        const unreported = findMaxServiceInWindow(driver, account, driver.maxStalenessMs);
        const running = outstanding.get(account) ?? 0;
        const restartAllowance = observation.restarts.length * (unreported + 2 * running);
        return (
            Math.max(0, ...costs) +
            unreported +
            restartAllowance +
            (observation.basis === "delivered" ? 2 * running : 0)
        );
    });
    const [largest = 0, second = 0] = parts.sort((a, b) => b - a);
    return { gap: Math.round(gap), bound: Math.round(largest + second), idleSlotSamples };
}

const shape = fc.record({
    agents: fc.integer({ min: 1, max: 5 }),
    maxConcurrent: fc.integer({ min: 2, max: 8 }),
    weights: fc.record({
        department: fc.integer({ min: 4, max: 64 }),
        middle: fc.integer({ min: 1, max: 8 }),
        club: fc.constant(1),
    }),
    seed: fc.nat(1_000_000),
    exchangeEveryMs: fc.integer({ min: 50, max: 1_000 }),
    exchangeDelayMs: fc.integer({ min: 1, max: 300 }),
    loss: fc.double({ min: 0, max: 0.5, noNaN: true }),
    repeat: fc.double({ min: 0, max: 0.5, noNaN: true }),
    slotRate: fc.integer({ min: 1, max: 8 }),
});

/**
 * Costs that vary between requests; the hints of `department` are too high or missing, those of the others are exact.
 */
const unknownCosts: fc.Arbitrary<Partial<FleetOptions>> = fc
    .tuple(shape, fc.integer({ min: 1, max: 2_000 }), fc.boolean())
    .map(([options, spread, hints]) => ({
        ...options,
        createDemand: ({ clientAccount, random }) => {
            const generatedTokens = 10 + Math.floor(spread * random.next() ** 3);
            const roughHint = hints ? generatedTokens * 2 : undefined;
            const maxTokens = clientAccount === "department" ? roughHint : generatedTokens;
            return { promptTokens: 50, maxTokens, generatedTokens };
        },
    }));

/**
 * One cost per account, given with the request: the remaining gap is due to the start order and delayed claims only.
 */
const knownCosts: fc.Arbitrary<Partial<FleetOptions>> = fc
    .tuple(shape, fc.array(fc.integer({ min: 10, max: 1_000 }), { minLength: 3, maxLength: 3 }))
    .map(([options, tokens]) => ({
        ...options,
        createDemand: ({ clientAccount }) => {
            const generatedTokens = tokens[["department", "middle", "club"].indexOf(clientAccount)] ?? 100;
            return { promptTokens: 50, maxTokens: generatedTokens, generatedTokens };
        },
    }));

const restartLists = fc.array(fc.record({ agent: fc.nat(4), atMs: fc.integer({ min: 0, max: 40_000 }) }), {
    maxLength: 3,
});

function checkGap(options: Partial<FleetOptions>, observation: ObservationOptions): void {
    const driver = new AgentFleetDriver(options);
    const accounts = Object.keys(options.weights ?? {});
    // The account `club` sends to one agent only. Its share fits there, so that agent must serve the other accounts
    // less, according to what they are served by other agents.
    accounts.forEach(account => driver.startBacklog(account, account === "club" ? [0] : undefined));
    driver.advance(settleMs);
    const { gap, bound, idleSlotSamples } = measureGap(driver, accounts, observation);
    if (gap > bound || idleSlotSamples > 0) {
        throw new Error(`service gap ${gap}, limit ${bound}; idle slots in ${idleSlotSamples} samples, limit 0`);
    }
}

describe("Fair shares over several agents", () => {
    // Guards against accounts that fall behind the others in service divided by weight. All accounts are backlogged;
    // claims about charges of other agents are lost, repeated and late; costs are known only at the end of a request;
    // some agents restart without state.
    it("keeps the gap in delivered service within its bound, and no slot idle, with costs unknown", () => {
        fc.assert(
            fc.property(unknownCosts, restartLists, (options, restarts) => {
                const validRestarts = restarts.filter(restart => restart.agent < (options.agents ?? 1));
                checkGap(options, { durationMs: 45_000, basis: "delivered", restarts: validRestarts });
            }),
            { seed: 7, numRuns: 12 },
        );
    });

    it("keeps the gap in charged service within one cost and the claims in transit, with costs known", () => {
        fc.assert(
            fc.property(knownCosts, options =>
                checkGap(options, { durationMs: 40_000, basis: "charged", restarts: [] }),
            ),
            { seed: 8, numRuns: 12 },
        );
    });

    // Guards against shares that deviate from the weights because claims are old. With one exchange every two seconds
    // all six agents see `club` furthest behind at the same time. If each ignored the other agents' probable starts,
    // `club` would get most slots until the next exchange.
    it("limits how much all agents together start for a small account between two exchanges", () => {
        const driver = new AgentFleetDriver({ agents: 6, exchangeEveryMs: 2_000 });
        const accounts = ["department", "middle", "club"];
        accounts.forEach(account => driver.startBacklog(account));
        driver.advance(settleMs);
        const { gap } = measureGap(driver, accounts, { durationMs: 60_000, basis: "charged", restarts: [] });
        const maxCost = 500;
        expect(gap / maxCost).toMatchInlineSnapshot(`10`);
    });

    it("gives accounts with large and small weights their shares", () => {
        const driver = new AgentFleetDriver({ agents: 6, weights: { department: 16, middle: 4, club: 1 } });
        const accounts = ["department", "middle", "club"];
        accounts.forEach(account => driver.startBacklog(account));
        driver.advance(settleMs);
        const statistics = measureGap(driver, accounts, { durationMs: 60_000, basis: "charged", restarts: [] });
        const starts = accounts.map(account => driver.starts.filter(start => start.clientAccount === account).length);
        expect({ ...statistics, starts }).toMatchInlineSnapshot(`
          {
            "bound": 5625,
            "gap": 1906,
            "idleSlotSamples": 0,
            "starts": [
              4922,
              1234,
              312,
            ],
          }
        `);
    });
});
