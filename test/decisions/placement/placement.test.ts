import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import {
    choosePlacement,
    computeAffinityHash,
    computeNameHash,
    type PlacementCandidate,
} from "../../../src/decisions/placement/placement.js";

const createCandidate = (agentId: string, changes: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
    agentId,
    nameHash: computeNameHash(agentId),
    dataCentre: "a",
    window: 16,
    load: 4,
    ownWaiting: 0,
    serviceTimeMs: 2_000,
    hasCachedPrefix: false,
    ...changes,
});
const names = Array.from({ length: 13 }, (...[, index]) => `t${index + 1}`);
const request = { affinityHash: undefined, promptTokens: 2_000, dataCentre: "a" };

/** How often each agent is chosen in `rounds` placements. */
function countChoices(
    candidates: readonly PlacementCandidate[],
    affinityHash: number | undefined,
    rounds = 200,
): Readonly<Record<string, number>> {
    const random = new SeededRandom(3);
    const counts: Record<string, number> = {};
    for (let round = 0; round < rounds; round++) {
        const chosen = choosePlacement(candidates, { ...request, affinityHash }, random);
        counts[chosen?.agentId ?? "none"] = (counts[chosen?.agentId ?? "none"] ?? 0) + 1;
    }
    return counts;
}

describe("choosePlacement", () => {
    it("spreads equal choices, so that routers with one view don't run to one target", () => {
        const counts = Object.values(
            countChoices(
                names.map(name => createCandidate(name)),
                undefined,
                1_300,
            ),
        );
        expect([counts.length, Math.min(...counts) > 60, Math.max(...counts) < 150]).toEqual([13, true, true]);
    });

    it("sends a hot prefix to its two targets, each account to its own", () => {
        const candidates = names.map(name => createCandidate(name));
        const first = Object.keys(countChoices(candidates, computeAffinityHash("department", "roster")));
        const second = Object.keys(countChoices(candidates, computeAffinityHash("club", "roster")));
        expect([first.sort(), second.sort()]).toMatchInlineSnapshot(`
          [
            [
              "t8",
              "t9",
            ],
            [
              "t1",
              "t6",
            ],
          ]
        `);
    });

    it("follows a cache hint, and does without one", () => {
        const candidates = names.map(name => createCandidate(name, { hasCachedPrefix: name === "t9" }));
        expect(Object.keys(countChoices(candidates, computeAffinityHash("department", "roster")))).toEqual(["t9"]);
    });

    it("never lets affinity wait while a target has room", () => {
        const candidates = names.map(name =>
            createCandidate(name, { hasCachedPrefix: name !== "t4", load: name === "t4" ? 15 : 16 }),
        );
        expect(Object.keys(countChoices(candidates, computeAffinityHash("department", "roster")))).toEqual(["t4"]);
    });

    it("avoids a slow target and, at equal load, another data centre", () => {
        const slow = [createCandidate("t1", { serviceTimeMs: 8_000 }), createCandidate("t2")];
        const far = [createCandidate("t1", { dataCentre: "b" }), createCandidate("t2")];
        expect([countChoices(slow, undefined), countChoices(far, undefined)]).toEqual([{ t2: 200 }, { t2: 200 }]);
    });

    it("puts an account's next request where none of its own waits when all are full", () => {
        const full = names.map(name =>
            createCandidate(name, { load: 20, ownWaiting: name === "t7" ? 0 : 1, hasCachedPrefix: name === "t1" }),
        );
        expect(countChoices(full, computeAffinityHash("department", "roster"))).toEqual({ t7: 200 });
    });
});
