import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { RolloutEvaluator } from "../../../src/decisions/rollouts/rolloutEvaluator.js";
import { EvidenceCounter, type VersionSample } from "../../../src/decisions/rollouts/versionEvidence.js";

const seed = 20_261_204;
const sample: VersionSample = { route: "a", isCandidate: true, targetHash: 1, result: "ok", isSlow: false };

/** Feeds samples one by one, with as many of the old version, which are sound; returns the verdict after each. */
function listVerdicts(samples: readonly VersionSample[]): readonly string[] {
    const counter = new EvidenceCounter();
    const judged = new RolloutEvaluator();
    return samples.map((next, index) => {
        counter.observe({ ...sample, route: next.route, isCandidate: false });
        counter.observe(next);
        judged.apply("router-1", counter.evidence, index * 50);
        return judged.verdict;
    });
}

function createSamples(count: number, changes: (random: SeededRandom, index: number) => Partial<VersionSample>) {
    const random = new SeededRandom(seed);
    return [...Array(count).keys()].map(index => ({ ...sample, ...changes(random, index) }));
}

describe("a new version", () => {
    it("that fails as rarely as the old one is good", () => {
        expect(listVerdicts(createSamples(120, () => ({}))).at(-1)).toBe("good");
    });

    it("whose answers fail is bad, also when that begins after a long sound time", () => {
        const verdicts = listVerdicts(
            createSamples(400, (random, index) => (index > 300 && random.next() < 0.4 ? { result: "failed" } : {})),
        );
        expect(verdicts[300]).toBe("good");
        expect(verdicts.at(-1)).toBe("bad");
    });

    it("that fails on one of several routes is bad", () => {
        const verdicts = listVerdicts(
            createSamples(200, (random, index) => ({
                route: ["a", "b", "c"][index % 3],
                result: index % 3 === 0 && random.next() < 0.5 ? "failed" : "ok",
            })),
        );
        expect(verdicts.at(-1)).toBe("bad");
    });

    it("that is slow on a part of its answers is bad", () => {
        const verdicts = listVerdicts(createSamples(200, random => ({ isSlow: random.next() < 0.5 })));
        expect(verdicts.at(-1)).toBe("bad");
    });

    // One target that crashes breaks all its requests at once; taken for as many failures, each crash would end a roll-out.
    it("one of whose targets crashes is not bad", () => {
        const verdicts = listVerdicts(
            createSamples(200, (...[, index]) => (index > 50 && index < 60 ? { result: "broken" } : {})),
        );
        expect(verdicts).not.toContain("bad");
    });

    it("is not judged good while a route has not been seen", () => {
        const counter = new EvidenceCounter();
        const judged = new RolloutEvaluator();
        for (let index = 0; index < 200; index++) {
            counter.observe({ ...sample, isCandidate: false });
            counter.observe({ ...sample, isCandidate: false, route: "b" });
            counter.observe(sample);
            judged.apply("router-1", counter.evidence, index);
        }
        expect(judged.verdict).not.toBe("good");
    });

    // Routers restart with counts that begin anew; what they had reported before must not be taken back.
    it("keeps what a router reported before it started anew", () => {
        const judged = new RolloutEvaluator();
        const before = new EvidenceCounter();
        before.observe(sample);
        judged.apply("router-1 1", before.evidence, 0);
        judged.apply("router-1 2", new EvidenceCounter().evidence, 1);
        expect(judged.totals.candidate.requests).toBe(1);
    });
});
