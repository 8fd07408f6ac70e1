import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { ServiceSpeeds, type EngineSpeed } from "../../../src/decisions/placement/engineSpeed.js";

/** Time between two responses of an engine; milliseconds. */
const intervalMs = 100;
const prefillMs = 100;
const fixedMs = 20;

/** Lets an engine respond `count` times; `getTime`: its time per unit of work relative to the model; `getReport`: what it reports. */
function runEngine(
    engine: EngineSpeed,
    count: number,
    getTime: (index: number) => number,
    getReport: (index: number) => number | undefined,
    startMs = 0,
): void {
    for (let index = 0; index < count; index++) {
        const nowMs = startMs + index * intervalMs;
        const estimate = engine.estimate(nowMs);
        const report = getReport(index);
        if (report !== undefined) {
            engine.observeReport(report, nowMs);
        }
        engine.observeFirstOutput(
            { tookMs: fixedMs + prefillMs * getTime(index), fixedMs, prefillMs },
            estimate,
            nowMs,
        );
    }
}

function toRounded(value: number): number {
    return Math.round(value * 100) / 100;
}

describe("the speed of engines", () => {
    // Earlier deployments, whose engines send no slowdown, must be treated as before.
    it("is the same for all while none of the service's engines has reported", () => {
        const service = new ServiceSpeeds();
        const engines = [service.createEngine(), service.createEngine()];
        engines.forEach((engine, index) =>
            runEngine(
                engine,
                50,
                () => 1 + index * 2,
                () => undefined,
            ),
        );
        expect(engines.map(engine => engine.estimate(5_000))).toEqual([
            { factor: 1, reportRatio: 1, reportShift: 0 },
            { factor: 1, reportRatio: 1, reportShift: 0 },
        ]);
    });

    it("is learnt from first outputs, also of an engine that reports nothing", () => {
        const service = new ServiceSpeeds();
        const [slow, fast] = [service.createEngine(), service.createEngine()];
        for (let round = 0; round < 20; round++) {
            runEngine(
                slow,
                5,
                () => 1.4,
                () => undefined,
                round * 500,
            );
            runEngine(
                fast,
                5,
                () => 0.6,
                () => 1,
                round * 500,
            );
        }
        const [slowFactor, fastFactor] = [slow, fast].map(engine => engine.estimate(10_000).factor);
        expect(slowFactor / fastFactor).toBeCloseTo(1.4 / 0.6, 1);
    });

    // The model is the mean of the engines: if all factors could rise together, the model would fall, and both without bound.
    it("stays relative to the service's mean when all engines become slower", () => {
        const service = new ServiceSpeeds();
        const engines = [service.createEngine(), service.createEngine()];
        for (let round = 0; round < 40; round++) {
            engines.forEach(engine =>
                runEngine(
                    engine,
                    5,
                    () => 3,
                    () => 1,
                    round * 500,
                ),
            );
        }
        const [first, second] = engines.map(engine => engine.estimate(20_000).factor);
        expect([toRounded(first * second), Math.abs(first - second) < 0.15]).toEqual([1, true]);
    });

    it("follows a report at once, and returns to the long-term factor as the report ages", () => {
        const service = new ServiceSpeeds();
        const engine = service.createEngine();
        runEngine(
            engine,
            100,
            () => 1,
            () => 1,
        );
        engine.observeReport(2.5, 10_000);
        expect([0, 150, 300, 2_000].map(ageMs => toRounded(engine.estimate(10_000 + ageMs).factor)))
            .toMatchInlineSnapshot(`
          [
            2.47,
            1.57,
            1.25,
            1,
          ]
        `);
    });

    // An engine may report in percent of its own usual speed, or of another engine's.
    it("depends on changes of the reports only", () => {
        const service = new ServiceSpeeds();
        const [first, second] = [service.createEngine(), service.createEngine()];
        for (let round = 0; round < 200; round++) {
            runEngine(
                first,
                5,
                () => 1,
                () => 1,
                round * 500,
            );
            runEngine(
                second,
                5,
                () => 1,
                () => 0.5,
                round * 500,
            );
        }
        expect([first, second].map(engine => toRounded(engine.estimate(100_000).factor))).toEqual([1, 1]);
    });

    // Reports that are false or stale must not steer requests: their weight falls to 0.
    it("has no part of reports that don't predict, and all of those that do", () => {
        const weights = [0, 10].map(delay => {
            const random = new SeededRandom(3);
            const isSlow = Array.from({ length: 600 }, () => random.next() < 1 / 7);
            const engine = new ServiceSpeeds().createEngine();
            runEngine(
                engine,
                500,
                index => (isSlow[index + 20] ? 2.5 : 1),
                // The report that counts is the one before the send.
                index => (isSlow[index + 21 - delay] ? 2.5 : 1),
            );
            return engine.reportWeight;
        });
        expect([weights[0] > 0.8, weights[1]]).toEqual([true, 0]);
    });

    it("is bounded, whatever is observed or reported", () => {
        const service = new ServiceSpeeds();
        const [usual, extreme] = [service.createEngine(), service.createEngine()];
        for (let round = 0; round < 50; round++) {
            runEngine(
                usual,
                5,
                () => 1,
                () => 1,
                round * 500,
            );
            runEngine(
                extreme,
                5,
                () => 1_000,
                () => 20,
                round * 500,
            );
        }
        expect(toRounded(extreme.estimate(1_000_000).factor)).toBeLessThanOrEqual(4);
    });

    it("is that of the owner while its reply is newer than this router's observations", () => {
        const service = new ServiceSpeeds();
        const engine = service.createEngine();
        runEngine(
            engine,
            50,
            () => 1,
            () => 1,
        );
        engine.observeOwner(2.5, 6_000);
        const ownerFactor = toRounded(engine.estimate(6_000).factor);
        engine.observeReport(1, 6_010);
        expect([ownerFactor, engine.estimate(6_010).factor < 1.5]).toEqual([2.5, true]);
    });
});
