import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { AgentFleetDriver, type FleetOptions } from "./agentFleetDriver.js";

const settleMs = 8_000;

/** The most service that one account was given in any span of `spanMs`; over weight. */
function findLargestIn(driver: AgentFleetDriver, clientAccount: string, spanMs: number): number {
    const starts = driver.starts.filter(start => start.clientAccount === clientAccount);
    let largest = 0;
    let sum = 0;
    let first = 0;
    for (const start of starts) {
        sum += start.normalizedCost;
        for (
            let oldest = starts[first];
            oldest !== undefined && oldest.atMs < start.atMs - spanMs;
            oldest = starts[first]
        ) {
            sum -= oldest.normalizedCost;
            first += 1;
        }
        largest = Math.max(largest, sum);
    }
    return largest;
}

interface GapFigures {
    readonly gap: number;
    readonly bound: number;
    readonly idleSlotSamples: number;
}

interface Span {
    readonly forMs: number;
    /** Compared: service as the targets delivered it, or as the agents charged it. */
    readonly by: "delivered" | "charged";
    readonly restarts: readonly { readonly agent: number; readonly atMs: number }[];
}

/**
 * Observes the greatest gap in service between any two of the accounts, all backlogged, and its bound. The bound is the
 * sum over the two accounts of: one start beyond its turn (the largest cost); what agents may start for it while the
 * news of that is under way; and, for delivered service, twice what it has running, as charge and delivery of a request
 * differ by no more than its estimate. A restart adds what it cuts off and what it had not told.
 */
function observeGap(driver: AgentFleetDriver, accounts: readonly string[], span: Span): GapFigures {
    const getService = (account: string): number =>
        span.by === "delivered" ? driver.getDelivered(account) : driver.getCharged(account);
    const base = new Map(accounts.map(account => [account, getService(account)]));
    const outstanding = new Map(accounts.map(account => [account, driver.getOutstanding(account)]));
    const startMs = driver.nowMs;
    const restarts = [...span.restarts].sort((a, b) => a.atMs - b.atMs);
    let gap = 0;
    let idleSlotSamples = 0;
    driver.advance(span.forMs, 50, () => {
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
        const stale = findLargestIn(driver, account, driver.maxStalenessMs);
        const running = outstanding.get(account) ?? 0;
        const ofRestarts = span.restarts.length * (stale + 2 * running);
        return Math.max(0, ...costs) + stale + ofRestarts + (span.by === "delivered" ? 2 * running : 0);
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

/** Costs that differ from request to request; the department's hints are too high or missing, the others' are right. */
const unknownCosts: fc.Arbitrary<Partial<FleetOptions>> = fc
    .tuple(shape, fc.integer({ min: 1, max: 2_000 }), fc.boolean())
    .map(([choices, spread, hints]) => ({
        ...choices,
        createDemand: ({ clientAccount, random }) => {
            const generatedTokens = 10 + Math.floor(spread * random.next() ** 3);
            const roughHint = hints ? generatedTokens * 2 : undefined;
            const maxTokens = clientAccount === "department" ? roughHint : generatedTokens;
            return { promptTokens: 50, maxTokens, generatedTokens };
        },
    }));

/** One cost for each account, told beforehand: what is left of the gap is due to turns and news alone. */
const knownCosts: fc.Arbitrary<Partial<FleetOptions>> = fc
    .tuple(shape, fc.array(fc.integer({ min: 10, max: 1_000 }), { minLength: 3, maxLength: 3 }))
    .map(([choices, tokens]) => ({
        ...choices,
        createDemand: ({ clientAccount }) => {
            const generatedTokens = tokens[["department", "middle", "club"].indexOf(clientAccount)] ?? 100;
            return { promptTokens: 50, maxTokens: generatedTokens, generatedTokens };
        },
    }));

const restartsOf = fc.array(fc.record({ agent: fc.nat(4), atMs: fc.integer({ min: 0, max: 40_000 }) }), {
    maxLength: 3,
});

function checkGap(choices: Partial<FleetOptions>, span: Span): void {
    const driver = new AgentFleetDriver(choices);
    const accounts = Object.keys(choices.weights ?? {});
    // The club reaches one agent only; its share fits there, so the others must leave it room on account of what they
    // get elsewhere.
    accounts.forEach(account => driver.startBacklog(account, account === "club" ? [0] : undefined));
    driver.advance(settleMs);
    const { gap, bound, idleSlotSamples } = observeGap(driver, accounts, span);
    if (gap > bound || idleSlotSamples > 0) {
        throw new Error(`gap ${gap} of ${bound}, slots idle in ${idleSlotSamples} samples`);
    }
}

describe("Fair shares over several agents", () => {
    // The caller sees: its account's service keeps up with every other's, over weight. All accounts are backlogged at
    // all agents; the news of what others charged is lost, repeated and late; costs are known only at the end.
    // Some agents restart without state in between.
    it("keeps the gap in delivered service within its bound, and no slot idle, with costs unknown", () => {
        fc.assert(
            fc.property(unknownCosts, restartsOf, (choices, restarts) => {
                const known = restarts.filter(restart => restart.agent < (choices.agents ?? 1));
                checkGap(choices, { forMs: 45_000, by: "delivered", restarts: known });
            }),
            { seed: 7, numRuns: 12 },
        );
    });

    it("keeps the gap in charged service within one cost and the news under way, with costs known", () => {
        fc.assert(
            fc.property(knownCosts, choices => checkGap(choices, { forMs: 40_000, by: "charged", restarts: [] })),
            { seed: 8, numRuns: 12 },
        );
    });

    // The callers see: shares that follow the weights although news is old. With one exchange in two seconds all six agents
    // find the club furthest behind at once; started as if each were alone, it would get most slots until the next news.
    it("keeps a small account from being started by all agents at once between two exchanges", () => {
        const driver = new AgentFleetDriver({ agents: 6, exchangeEveryMs: 2_000 });
        const accounts = ["department", "middle", "club"];
        accounts.forEach(account => driver.startBacklog(account));
        driver.advance(settleMs);
        const { gap } = observeGap(driver, accounts, { forMs: 60_000, by: "charged", restarts: [] });
        const largestCost = 500;
        expect(gap / largestCost).toMatchInlineSnapshot(`10`);
    });

    it("gives a department and a club their shares", () => {
        const driver = new AgentFleetDriver({ agents: 6, weights: { department: 16, middle: 4, club: 1 } });
        const accounts = ["department", "middle", "club"];
        accounts.forEach(account => driver.startBacklog(account));
        driver.advance(settleMs);
        const figures = observeGap(driver, accounts, { forMs: 60_000, by: "charged", restarts: [] });
        const starts = accounts.map(account => driver.starts.filter(start => start.clientAccount === account).length);
        expect({ ...figures, starts }).toMatchInlineSnapshot(`
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
