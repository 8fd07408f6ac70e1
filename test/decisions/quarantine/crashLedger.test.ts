import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    CrashLedger,
    noOutputRunWeight,
    partialOutputRunWeight,
    type CrashEvidence,
} from "../../../src/decisions/quarantine/crashLedger.js";
import { SeededRandom } from "../../../src/base/random.js";

const digest = "d".repeat(32);
const firstHoldMs = 600_000;

function createEvidence(incarnation: number, weight = noOutputRunWeight): CrashEvidence {
    return { digest, prefixHash: 7, incarnation, weight };
}

describe("a request that targets ended under", () => {
    it("is held from the third target on, and by twice as many where it had given output", () => {
        const fresh = new CrashLedger();
        const proven = new CrashLedger();
        const standings = [1, 2, 3, 4, 5, 6].map(incarnation => {
            fresh.record(createEvidence(incarnation), 0);
            proven.record(createEvidence(incarnation, partialOutputRunWeight), 0);
            return `${fresh.check(digest, 0)} ${proven.check(digest, 0)}`;
        });
        expect(standings).toMatchInlineSnapshot(`
          [
            "suspect clear",
            "strong-suspect suspect",
            "held suspect",
            "held strong-suspect",
            "held strong-suspect",
            "held held",
          ]
        `);
    });

    it("is tried after ten minutes, and held twice as long if that ends a target", () => {
        const ledger = new CrashLedger();
        [1, 2, 3].forEach(incarnation => ledger.record(createEvidence(incarnation), 0));
        const before = [ledger.check(digest, firstHoldMs - 1), ledger.check(digest, firstHoldMs)];
        const isHeldAgain = ledger.record(createEvidence(4), firstHoldMs);
        const after = [ledger.check(digest, 3 * firstHoldMs - 1), ledger.check(digest, 3 * firstHoldMs)];
        expect({ before, isHeldAgain, after }).toEqual({
            before: ["held", "probe"],
            isHeldAgain: true,
            after: ["held", "probe"],
        });
    });

    it("is cleared by a whole answer, also for evidence that is repeated later", () => {
        const ledger = new CrashLedger();
        [1, 2].forEach(incarnation => ledger.record(createEvidence(incarnation), 0));
        ledger.remove(digest, 10);
        [1, 2, 3].forEach(incarnation => ledger.record(createEvidence(incarnation), 20));
        expect(ledger.check(digest, 30)).toBe("suspect");
    });

    // Reports are sent several times, and arrive in any order; counted by report, two crashes would hold a request.
    it("stands the same whatever the order and however often crashes are reported", () => {
        fc.assert(
            fc.property(
                fc.array(fc.integer({ min: 1, max: 6 }), { maxLength: 30 }),
                fc.boolean(),
                (incarnations, isReversed) => {
                    const ledger = new CrashLedger();
                    const order = isReversed ? [...incarnations].reverse() : incarnations;
                    order.forEach(incarnation => ledger.record(createEvidence(incarnation), 0));
                    const standings = ["clear", "suspect", "strong-suspect", "held"];
                    expect(ledger.check(digest, 1)).toBe(standings[Math.min(3, new Set(incarnations).size)]);
                },
            ),
        );
    });

    // An account sends many different requests that end targets: held one by one, each of them costs three.
    it("is held sooner the more requests of its account and path are held, and others as before", () => {
        const ledger = new CrashLedger();
        const countToHold = (name: string, prefixHash: number): number => {
            for (let count = 1; ; count++) {
                if (ledger.record({ digest: name, prefixHash, incarnation: count, weight: noOutputRunWeight }, 0)) {
                    return count;
                }
            }
        };
        const counts = ["a", "b", "c", "d", "e"].map(name => countToHold(name, 7));
        expect({ counts, otherPath: countToHold("x", 8) }).toEqual({ counts: [3, 3, 2, 2, 1], otherPath: 3 });
    });

    it("is the same after a store and a load", () => {
        const ledger = new CrashLedger();
        [1, 2, 3].forEach(incarnation => ledger.record(createEvidence(incarnation), 0));
        const later = new CrashLedger();
        ledger.listHeld(560_000).forEach(held => later.applyStored(held, 500));
        expect([later.check(digest, 40_499), later.check(digest, 40_500), later.hasPrefix(7)]).toEqual([
            "held",
            "probe",
            true,
        ]);
    });
});

interface Stream {
    readonly digest: string;
    engine: number;
    outputAtMs: number;
    endAtMs: number;
    sendsLeft: number;
}

const engines = 84;
const stepMs = 10;
const streamsPerStep = 4;
const runMs = 30_000;

/** Part of harmless streams that are held while so many engines crash at once, time after time. */
function measureHeldInnocents(crashedAtOnce: number, periodMs: number): number {
    const random = new SeededRandom(11);
    const ledger = new CrashLedger();
    const downUntilMs = new Array<number>(engines).fill(0);
    let streams: Stream[] = [];
    let incarnation = 0;
    let started = 0;
    let held = 0;
    const place = (stream: Stream, nowMs: number): void => {
        do {
            stream.engine = Math.floor(random.next() * engines);
        } while (downUntilMs[stream.engine] > nowMs);
        stream.outputAtMs = nowMs + 400 * random.next();
        stream.endAtMs = stream.outputAtMs + 2_000 * random.next();
        stream.sendsLeft -= 1;
    };
    for (let nowMs = 0; nowMs < runMs; nowMs += stepMs) {
        for (let index = 0; index < streamsPerStep; index++) {
            const stream = { digest: `s${++started}`, engine: 0, outputAtMs: 0, endAtMs: 0, sendsLeft: 4 };
            place(stream, nowMs);
            streams.push(stream);
        }
        const crashed = new Map<number, number>();
        for (let count = 0; nowMs > 0 && nowMs % periodMs === 0 && count < crashedAtOnce; count++) {
            const engine = Math.floor(random.next() * engines);
            downUntilMs[engine] = nowMs + 4_000;
            crashed.set(engine, ++incarnation);
        }
        for (const stream of streams.filter(({ engine }) => crashed.has(engine))) {
            const weight = nowMs >= stream.outputAtMs ? partialOutputRunWeight : noOutputRunWeight;
            const evidence = { digest: stream.digest, prefixHash: 1, incarnation: crashed.get(stream.engine)!, weight };
            held += ledger.record(evidence, nowMs) ? 1 : 0;
            place(stream, nowMs);
        }
        streams = streams.filter(({ endAtMs, sendsLeft }) => endAtMs > nowMs && sendsLeft >= 0);
    }
    return held / started;
}

describe("harmless streams on engines that crash one after the other", () => {
    // They were running when targets ended, as the request that ends them was; held, they would be refused for nothing.
    it.each([1, 3, 10])("are held in less than one of a thousand cases, %i engines at a time", crashedAtOnce => {
        expect(measureHeldInnocents(crashedAtOnce, 500)).toBeLessThan(0.001);
    });
});
