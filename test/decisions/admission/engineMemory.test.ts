import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EngineMemory, type MemoryDemand } from "../../../src/decisions/admission/engineMemory.js";

const capacityTokens = 10_000;
const usableTokens = 9_000;
const noSlotRetryMs = 100;
const runTtlMs = 20_000;

function createDemand(id: string, ownTokens: number, part?: string): MemoryDemand {
    return { id, ownTokens, sharedParts: part === undefined ? [] : [{ id: part, tokens: 3_000 }] };
}

/** Records the request if it fits; returns whether it does. */
function submit(memory: EngineMemory, demand: MemoryDemand, nowMs: number): boolean {
    const fits = memory.computeWaitMs(demand, capacityTokens, nowMs) === 0;
    if (fits) {
        memory.record(demand, nowMs);
    }
    return fits;
}

describe("the memory of an engine", () => {
    it("counts a shared part once, while any request holds it", () => {
        const memory = new EngineMemory();
        const fits = ["a", "b", "c"].map(id => submit(memory, createDemand(id, 2_500, "part"), 0));
        const before = memory.countHeld(1);
        memory.recordEnd("a", true, 1);
        const one = [memory.countHeld(1), memory.hasPart("part", 1)];
        memory.recordEnd("b", true, 1);
        expect([fits, before, one, memory.countHeld(1), memory.hasPart("part", 1)]).toEqual([
            [true, true, false],
            8_000,
            [5_500, true],
            0,
            false,
        ]);
    });

    // A duplicated datagram would otherwise hold memory twice and release it once.
    it("records a request once, however often it is received", () => {
        const memory = new EngineMemory();
        const fits = [0, 1].map(nowMs => submit(memory, createDemand("a", 6_000, "part"), nowMs));
        memory.recordEnd("a", true, 2);
        memory.recordEnd("a", true, 3);
        expect([fits, memory.countHeld(4)]).toEqual([[true, true], 0]);
    });

    it("denies for the time until the oldest request is expected to end", () => {
        const memory = new EngineMemory();
        submit(memory, createDemand("first", 8_000), 0);
        const withoutRuns = memory.computeWaitMs(createDemand("b", 5_000), capacityTokens, 10);
        memory.recordEnd("first", true, 900);
        submit(memory, createDemand("second", 8_000), 1_000);
        const waits = [1_200, 1_850].map(nowMs =>
            memory.computeWaitMs(createDemand("c", 5_000), capacityTokens, nowMs),
        );
        expect([withoutRuns, ...waits]).toEqual([noSlotRetryMs, 700, noSlotRetryMs]);
    });

    it("does not learn run times from requests that the engine never received", () => {
        const memory = new EngineMemory();
        submit(memory, createDemand("a", 8_000), 0);
        memory.recordEnd("a", false, 5_000);
        submit(memory, createDemand("b", 8_000), 5_000);
        expect(memory.computeWaitMs(createDemand("c", 5_000), capacityTokens, 5_001)).toBe(noSlotRetryMs);
    });

    // Otherwise it would never be served.
    it("leaves a request larger than the memory to an engine that holds nothing else", () => {
        const memory = new EngineMemory();
        expect([submit(memory, createDemand("a", 50_000), 0), submit(memory, createDemand("b", 1), 1)]).toEqual([
            true,
            false,
        ]);
    });

    // The router that held the grants was killed, or its reports were lost.
    it("is free again after 20 s if ends are never reported", () => {
        const memory = new EngineMemory();
        submit(memory, createDemand("a", 4_000, "part"), 0);
        submit(memory, createDemand("b", 2_000, "part"), 500);
        const held = [runTtlMs - 1, runTtlMs, runTtlMs + 500].map(nowMs => memory.countHeld(nowMs));
        expect([held, memory.hasPart("part", runTtlMs + 500)]).toEqual([[9_000, 5_000, 0], false]);
    });

    it("never adds a request beyond the usable part unless nothing else is held, and holds nothing once all have ended", () => {
        const step = fc.record({
            id: fc.integer({ min: 0, max: 12 }),
            tokens: fc.integer({ min: 0, max: 12_000 }),
            part: fc.constantFrom("p", "q", undefined),
            ends: fc.boolean(),
            gapMs: fc.integer({ min: 0, max: 4_000 }),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), steps => {
                const memory = new EngineMemory();
                const submitted = new Set<string>();
                let nowMs = 0;
                for (const { id, tokens, part, ends, gapMs } of steps) {
                    nowMs += gapMs;
                    const before = memory.countHeld(nowMs);
                    const demand = createDemand(`r${id}`, tokens, part);
                    submitted.add(demand.id);
                    if (ends) {
                        memory.recordEnd(demand.id, true, nowMs);
                    } else {
                        submit(memory, demand, nowMs);
                    }
                    const after = memory.countHeld(nowMs);
                    expect(after <= before || before === 0 || after <= usableTokens).toBe(true);
                    expect(memory.countOwn(nowMs)).toBeLessThanOrEqual(after);
                }
                submitted.forEach(id => memory.recordEnd(id, true, nowMs));
                expect(memory.countHeld(nowMs)).toBe(0);
            }),
            { seed: 9, numRuns: 500 },
        );
    });
});
