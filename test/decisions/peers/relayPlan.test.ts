import { describe, expect, it } from "vitest";
import { createRoundPlan, type RelayCandidate } from "../../../src/decisions/peers/relayPlan.js";

const rounds = 400;

function createRouters(
    dataCentre: string,
    shares: readonly number[],
    changes: Partial<RelayCandidate> = {},
): readonly RelayCandidate[] {
    return shares.map((processorShare, index) => ({
        routerId: `${dataCentre}${index}`,
        dataCentre,
        processorShare,
        utilization: 0.5,
        isWithdrawn: false,
        canRelay: true,
        ...changes,
    }));
}

/**
 * Messages in a round: the most that one router sends, its own and those that it forwards, relative to the budget; and those that cross data
 * centres, relative to rounds without relays.
 */
function measureRounds(fleet: readonly RelayCandidate[]): { readonly mostSent: number; readonly crossing: number } {
    const sent = new Map<string, number>();
    const crossing = { relayed: 0, direct: 0 };
    const messageBudget = fleet.length - 1;
    for (const origin of fleet) {
        const others = fleet.filter(router => router !== origin);
        const foreign = others.filter(router => router.dataCentre !== origin.dataCentre);
        for (let sequence = 0; sequence < rounds; sequence++) {
            const { relayIds, coveredIds } = createRoundPlan({ ...origin, sequence, messageBudget }, others);
            const add = (id: string, count: number): unknown => sent.set(id, (sent.get(id) ?? 0) + count / rounds);
            add(origin.routerId, others.length - coveredIds.size + relayIds.length);
            for (const relayId of relayIds) {
                add(
                    relayId,
                    foreign.filter(({ routerId }) => coveredIds.has(routerId) && routerId[0] === relayId[0]).length - 1,
                );
            }
            crossing.relayed += foreign.length - coveredIds.size + relayIds.length;
            crossing.direct += foreign.length;
        }
    }
    return {
        mostSent: Number((Math.max(...sent.values()) / messageBudget).toFixed(2)),
        crossing: Number((crossing.relayed / crossing.direct).toFixed(2)),
    };
}

function describePlan(routers: readonly RelayCandidate[], sequence = 0): { relays: string; covered: number } {
    const [origin] = createRouters("a", [1]);
    const plan = createRoundPlan({ ...origin, sequence, messageBudget: 1_000 }, routers);
    return { relays: plan.relayIds.join(" "), covered: plan.coveredIds.size };
}

describe("relays of messages", () => {
    // Each case guards against messages that no router would forward, or that are relayed without saving bytes.
    it("are used only where they save bytes, and only if they can forward", () => {
        const b = createRouters("b", [1, 1, 1]);
        expect({
            three: describePlan(b),
            two: describePlan(b.slice(1)),
            own: describePlan(createRouters("a", [1, 1, 1]).slice(1)),
            earlierBuild: describePlan([...b, ...createRouters("c", [1, 1, 1], { canRelay: false })]),
            overloaded: describePlan(createRouters("b", [1, 1, 1], { utilization: 0.95 })),
            withdrawn: describePlan(createRouters("b", [1, 1, 1], { isWithdrawn: true })),
        }).toMatchInlineSnapshot(`
          {
            "earlierBuild": {
              "covered": 3,
              "relays": "b0",
            },
            "overloaded": {
              "covered": 0,
              "relays": "",
            },
            "own": {
              "covered": 0,
              "relays": "",
            },
            "three": {
              "covered": 3,
              "relays": "b0",
            },
            "two": {
              "covered": 0,
              "relays": "",
            },
            "withdrawn": {
              "covered": 0,
              "relays": "",
            },
          }
        `);
    });

    // A stopped relay is known only when its messages have expired. Until then it must not get every round.
    it("rotate in proportion to processor shares", () => {
        const list = (shares: readonly number[]): readonly string[] =>
            Array.from(
                { length: 10 },
                (...[, sequence]) => describePlan(createRouters("b", shares), sequence).relays || "direct",
            );
        expect({
            equal: list([1, 1, 1, 1, 1]).join(" "),
            unequal: list([0.2, 1, 0.2, 0.7, 0.2]).join(" "),
        }).toMatchInlineSnapshot(`
          {
            "equal": "b0 b3 b1 b4 b2 b0 b4 b2 b0 b3",
            "unequal": "direct b3 b1 b4 b2 b1 b3 b1 direct b3",
          }
        `);
    });

    // Relays send what other routers save. Without a limit a few of them would send many times the budget.
    it("send no more than their budget", () => {
        const build = (sizes: readonly number[], shares: readonly number[]): readonly RelayCandidate[] =>
            sizes.flatMap((size, index) =>
                createRouters(
                    "abcd"[index],
                    Array.from({ length: size }, (...[, router]) => shares[router % shares.length]),
                ),
            );
        expect({
            equal: measureRounds(build([7, 7, 7, 6], [1])),
            twoSizes: measureRounds(build([16, 16, 16], [0.25, 0.25, 1])),
            oneLarge: measureRounds(build([20, 3, 4], [1])),
        }).toMatchInlineSnapshot(`
          {
            "equal": {
              "crossing": 0.15,
              "mostSent": 1.02,
            },
            "oneLarge": {
              "crossing": 0.28,
              "mostSent": 1.03,
            },
            "twoSizes": {
              "crossing": 0.55,
              "mostSent": 1.02,
            },
          }
        `);
    });
});
