import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { PartLedger } from "../../../src/decisions/quarantine/partLedger.js";

const service = "engines";
/** Time between two crashes that count separately; milliseconds. */
const gapMs = 200;

/** Records a crash for each list of parts, one after the other. */
function recordCrashes(ledger: PartLedger, runs: readonly (readonly string[])[], fromMs = 0): void {
    runs.forEach((parts, index) => {
        const nowMs = fromMs + index * gapMs;
        ledger.recordCrash({ service, incarnation: fromMs + index, parts, weight: 1 }, nowMs);
    });
}

function listHeld(ledger: PartLedger, nowMs = 1_000): readonly string[] {
    return ledger.listHeld(nowMs).map(({ parts }) => parts.join("+"));
}

describe("a prompt part under which targets crash", () => {
    it("is held after three crashes, whatever stands beside it", () => {
        const ledger = new PartLedger();
        recordCrashes(ledger, [
            ["a", "dead", "b"],
            ["dead", "c"],
            ["d", "dead"],
        ]);
        expect(listHeld(ledger)).toEqual(["dead"]);
    });

    // The part of all sound requests stands beside the fatal one in each crash.
    it("is held without a part that has been answered, before or after the crashes", () => {
        const ledger = new PartLedger();
        ledger.recordResponse(service, ["common"], 0);
        recordCrashes(ledger, [
            ["common", "late", "dead"],
            ["common", "late", "dead"],
            ["common", "late", "dead"],
        ]);
        ledger.recordResponse(service, ["common", "late"], 900);
        expect(listHeld(ledger)).toEqual(["dead"]);
    });

    it("is held without a part that accompanied it in some crashes", () => {
        const ledger = new PartLedger();
        recordCrashes(ledger, [
            ["dead", "a"],
            ["dead", "a"],
            ["dead", "b"],
            ["dead", "a"],
            ["dead", "a"],
        ]);
        expect(listHeld(ledger)).toEqual(["dead"]);
    });

    it("is held beside a second one", () => {
        const ledger = new PartLedger();
        recordCrashes(ledger, [
            ["x", "a"],
            ["y", "b"],
            ["x", "c"],
            ["y", "d"],
            ["x", "e"],
            ["y", "f"],
        ]);
        expect([...listHeld(ledger)].sort()).toEqual(["x", "y"]);
    });

    // Nothing distinguishes the parts; requests with the sound one alone must go on.
    it("is held together with one that always came with it, until requests with one of them decide", () => {
        const ledger = new PartLedger();
        recordCrashes(ledger, [
            ["common", "dead"],
            ["common", "dead"],
            ["common", "dead"],
        ]);
        const before = [["common", "dead"], ["common"], ["other"]].map(
            parts => ledger.check(service, parts, 1_000).kind,
        );
        ledger.recordResponse(service, ["common"], 1_100);
        const after = [["common"], ["dead", "other"]].map(parts => ledger.check(service, parts, 1_200).kind);
        expect({ before, after, held: listHeld(ledger, 1_200) }).toEqual({
            before: ["held", "trial", "clear"],
            after: ["clear", "held"],
            held: ["dead"],
        });
    });

    it("is held by itself once a trial with it alone has crashed a target", () => {
        const ledger = new PartLedger();
        recordCrashes(ledger, [
            ["common", "dead"],
            ["common", "dead"],
            ["common", "dead"],
        ]);
        ledger.recordCrash({ service, incarnation: 50, parts: ["dead"], weight: 3 }, 2_000);
        expect([
            ledger.check(service, ["dead", "x"], 2_100).kind,
            ledger.check(service, ["common"], 2_100).kind,
        ]).toEqual(["held", "trial"]);
    });

    it("is tried again after a hold, and held longer if the trial crashes a target", () => {
        const ledger = new PartLedger();
        recordCrashes(ledger, [["dead"], ["dead"], ["dead"]]);
        const kinds = [8_399, 8_400].map(nowMs => ledger.check(service, ["dead"], nowMs).kind);
        ledger.recordCrash({ service, incarnation: 60, parts: ["dead"], weight: 3 }, 8_500);
        const later = [600_000, 608_500].map(nowMs => ledger.check(service, ["dead"], nowMs).kind);
        expect({ kinds, later }).toEqual({ kinds: ["held", "trial"], later: ["held", "trial"] });
    });

    it("is known after a restart from what was stored", () => {
        const [before, after] = [new PartLedger(), new PartLedger()];
        recordCrashes(before, [["dead"], ["dead"], ["dead"]]);
        before.listHeld(1_000).forEach(held => after.applyStored(held, 0));
        expect(after.check(service, ["dead", "a"], 10)).toEqual({ kind: "held" });
    });

    it("is not sent to a further target after its second crash", () => {
        const ledger = new PartLedger();
        const isSuspect = [0, 1].map(index => {
            recordCrashes(ledger, [[`a${index}`, "dead"]], index * gapMs);
            return ledger.isSuspect(service, [`a${index}`, "dead"], index * gapMs);
        });
        expect(isSuspect).toEqual([false, true]);
    });

    it("is held for its service only", () => {
        const ledger = new PartLedger();
        recordCrashes(ledger, [["dead"], ["dead"], ["dead"]]);
        expect(ledger.check("other", ["dead"], 1_000).kind).toBe("clear");
    });

    // Reports are sent several times and arrive in any order.
    it("has the same status for any repetition of reports", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 0, max: 2 }), { maxLength: 20 }), repeats => {
                const ledger = new PartLedger();
                recordCrashes(ledger, [
                    ["dead", "a"],
                    ["dead", "b"],
                    ["dead", "c"],
                ]);
                for (const incarnation of repeats) {
                    ledger.recordCrash({ service, incarnation, parts: ["dead"], weight: 1 }, 700);
                }
                expect(listHeld(ledger)).toEqual(["dead"]);
            }),
        );
    });
});

describe("targets that crash together without a fatal part", () => {
    // Sound requests with a part that no complete response has had yet ran at several of them.
    it("accuse the parts of their requests only once", () => {
        const ledger = new PartLedger();
        for (let incarnation = 0; incarnation < 20; incarnation++) {
            ledger.recordCrash({ service, incarnation, parts: ["new"], weight: 1 }, incarnation * 2);
        }
        expect(listHeld(ledger)).toEqual([]);
    });
});

interface Stream {
    readonly parts: readonly string[];
    readonly engine: number;
    readonly outputAtMs: number;
    readonly endAtMs: number;
}

const engineCount = 84;
const stepMs = 10;
const streamsPerStep = 4;
const runMs = 20_000;
const crashPeriodMs = 500;
const commonCount = 60;
const rareCount = 5_000;

/** Share of streams that are refused for a held part while `crashedAtOnce` engines crash in each period, without a fatal part. */
function measureRefusedHarmless(crashedAtOnce: number): number {
    const random = new SeededRandom(5);
    const ledger = new PartLedger();
    const streams: Stream[] = [];
    let open: Stream[] = [];
    let refused = 0;
    let incarnation = 0;
    for (let nowMs = 0; nowMs < runMs; nowMs += stepMs) {
        for (let index = 0; index < streamsPerStep; index++) {
            const rare = Math.floor(rareCount * random.next() ** 4);
            const parts = [`common-${Math.floor(random.next() * commonCount)}`, `rare-${rare}`];
            const outputAtMs = nowMs + 400 * random.next();
            const engine = Math.floor(random.next() * engineCount);
            const stream = { parts, engine, outputAtMs, endAtMs: outputAtMs + 2_000 * random.next() };
            streams.push(stream);
            if (ledger.check(service, parts, nowMs).kind === "clear") {
                open.push(stream);
            } else {
                refused += 1;
            }
        }
        for (const { parts } of open.filter(({ endAtMs }) => endAtMs <= nowMs)) {
            ledger.recordResponse(service, parts, nowMs);
        }
        open = open.filter(({ endAtMs }) => endAtMs > nowMs);
        for (let count = 0; nowMs % crashPeriodMs === 0 && count < crashedAtOnce; count++) {
            const crashed = Math.floor(random.next() * engineCount);
            incarnation += 1;
            for (const { parts, outputAtMs } of open.filter(({ engine }) => engine === crashed)) {
                const weight = nowMs < outputAtMs + 500 ? 1 : 0.25;
                ledger.recordCrash({ service, incarnation, parts, weight }, nowMs);
            }
            open = open.filter(({ engine }) => engine !== crashed);
        }
    }
    return refused / streams.length;
}

describe("harmless parts of streams on targets that crash repeatedly", () => {
    it.each([1, 3, 10])(
        "are held for less than one of a thousand streams with %i targets crashing at a time",
        count => {
            expect(measureRefusedHarmless(count)).toBeLessThan(0.001);
        },
    );
});
