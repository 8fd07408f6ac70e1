import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { RolloutEvaluator } from "../../../src/decisions/rollouts/rolloutEvaluator.js";
import { EvidenceCounter, type VersionSample } from "../../../src/decisions/rollouts/versionEvidence.js";

const seed = 20_261_204;
const sample: VersionSample = { route: "a", isCandidate: true, targetHash: 1, result: "ok", isSlow: false };

/** Applies samples one by one, each with a sound sample of the old version, and returns the verdict after each. */
function listVerdicts(samples: readonly VersionSample[]): readonly string[] {
    const counter = new EvidenceCounter();
    const evaluator = new RolloutEvaluator();
    return samples.map((next, index) => {
        counter.observe({ ...sample, route: next.route, isCandidate: false });
        counter.observe(next);
        evaluator.apply("router-1", counter.evidence, index * 50);
        return evaluator.verdict;
    });
}

function createSamples(count: number, changes: (random: SeededRandom, index: number) => Partial<VersionSample>) {
    const random = new SeededRandom(seed);
    return [...Array(count).keys()].map(index => ({ ...sample, ...changes(random, index) }));
}

describe("a new version", () => {
    it("that fails as rarely as the old one is judged good", () => {
        expect(listVerdicts(createSamples(120, () => ({}))).at(-1)).toBe("good");
    });

    it("whose responses fail is judged bad, also if the failures begin after a long sound period", () => {
        const verdicts = listVerdicts(
            createSamples(400, (random, index) => (index > 300 && random.next() < 0.4 ? { result: "failed" } : {})),
        );
        expect(verdicts[300]).toBe("good");
        expect(verdicts.at(-1)).toBe("bad");
    });

    it("that fails on one of several routes is judged bad", () => {
        const verdicts = listVerdicts(
            createSamples(200, (random, index) => ({
                route: ["a", "b", "c"][index % 3],
                result: index % 3 === 0 && random.next() < 0.5 ? "failed" : "ok",
            })),
        );
        expect(verdicts.at(-1)).toBe("bad");
    });

    it("that is slow for a part of its responses is judged bad", () => {
        const verdicts = listVerdicts(createSamples(200, random => ({ isSlow: random.next() < 0.5 })));
        expect(verdicts.at(-1)).toBe("bad");
    });

    // A busy router measures the responses of both versions too late; its delay was taken for slowness of the sound version.
    it.each([
        { name: "of both versions", isBaselineSlow: true, expected: false },
        { name: "of the version only", isBaselineSlow: false, expected: true },
    ])("is judged bad for slow responses $name: $expected", ({ isBaselineSlow, expected }) => {
        const counter = new EvidenceCounter();
        const evaluator = new RolloutEvaluator();
        for (let report = 0; report < 60; report++) {
            const isBusy = report >= 40 && report < 48;
            for (let index = 0; index < 5; index++) {
                counter.observe({ ...sample, isCandidate: false, isSlow: isBusy && isBaselineSlow });
            }
            counter.observe({ ...sample, isSlow: isBusy });
            evaluator.apply("router-1", counter.evidence, report * 250);
        }
        expect(evaluator.verdict === "bad").toBe(expected);
    });

    // A target that crashes disconnects all its requests at once. If they counted as separate failures, each crash
    // would end a roll-out.
    it("is not judged bad when one of its targets crashes", () => {
        const verdicts = listVerdicts(
            createSamples(200, (...[, index]) => (index > 50 && index < 60 ? { result: "broken" } : {})),
        );
        expect(verdicts).not.toContain("bad");
    });

    it("is not judged good while a route has no requests", () => {
        const counter = new EvidenceCounter();
        const evaluator = new RolloutEvaluator();
        for (let index = 0; index < 200; index++) {
            counter.observe({ ...sample, isCandidate: false });
            counter.observe({ ...sample, isCandidate: false, route: "b" });
            counter.observe(sample);
            evaluator.apply("router-1", counter.evidence, index);
        }
        expect(evaluator.verdict).not.toBe("good");
    });

    // Routers restart with counts that begin at zero; what they reported before must not be subtracted.
    it("keeps what a router reported before its restart", () => {
        const evaluator = new RolloutEvaluator();
        const before = new EvidenceCounter();
        before.observe(sample);
        evaluator.apply("router-1 1", before.evidence, 0);
        evaluator.apply("router-1 2", new EvidenceCounter().evidence, 1);
        expect(evaluator.totals.candidate.requests).toBe(1);
    });
});
