import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { TargetAvailability, type LeavingSource } from "../../../src/decisions/health/targetAvailability.js";
import { TargetPause } from "../../../src/decisions/health/targetPause.js";

const seed = 30;
const sources: readonly LeavingSource[] = ["record", "answer", "peer"];

type Step =
    | { readonly kind: "leaving"; readonly source: LeavingSource }
    | { readonly kind: "pause"; readonly ms: number }
    | { readonly kind: "pass"; readonly ms: number };

const steps: fc.Arbitrary<readonly Step[]> = fc.array(
    fc.oneof(
        fc.record({ kind: fc.constant("leaving" as const), source: fc.constantFrom(...sources) }),
        fc.record({ kind: fc.constant("pause" as const), ms: fc.integer({ min: -5, max: 3_000 }) }),
        fc.record({ kind: fc.constant("pass" as const), ms: fc.integer({ min: 0, max: 2_000 }) }),
    ),
    { maxLength: 30 },
);

describe("a target's availability", () => {
    // Evidence comes late, twice and in any order; none of it may open a target again that is leaving or wants nothing.
    it("stays closed from the first evidence on, and until the latest end of its pauses", () => {
        fc.assert(
            fc.property(steps, sequence => {
                const availability = new TargetAvailability();
                let nowMs = 0;
                let isLeaving = false;
                let untilMs = 0;
                for (const step of sequence) {
                    if (step.kind === "leaving") {
                        expect(availability.recordLeaving({ source: step.source, atMs: nowMs })).toBe(!isLeaving);
                        isLeaving = true;
                    } else if (step.kind === "pause") {
                        availability.pause.record(step.ms, nowMs);
                        untilMs = Math.max(untilMs, nowMs + step.ms);
                    } else {
                        nowMs += step.ms;
                    }
                    expect(availability.isClosed(nowMs)).toBe(isLeaving || nowMs < untilMs);
                    expect(availability.canAccept(nowMs) && availability.isClosed(nowMs)).toBe(false);
                }
            }),
            { seed },
        );
    });
});

describe("the end of a pause", () => {
    function countSends(pause: TargetPause, nowMs: number): number {
        let sends = 0;
        while (sends < 100 && pause.canStart(nowMs)) {
            pause.recordSend();
            sends += 1;
        }
        return sends;
    }

    // All that waited for the end would turn the target away again at once.
    it("lets one request through, then more with each answer, then all", () => {
        const pause = new TargetPause();
        pause.record(500, 0);
        const counts = [countSends(pause, 499), countSends(pause, 500)];
        pause.recordResponse();
        counts.push(countSends(pause, 510));
        pause.recordResponse();
        counts.push(countSends(pause, 520), countSends(pause, 1_500));
        expect(counts).toMatchInlineSnapshot(`
          [
            0,
            1,
            2,
            2,
            100,
          ]
        `);
    });

    it("begins anew after a further pause", () => {
        const pause = new TargetPause();
        pause.record(500, 0);
        countSends(pause, 500);
        pause.recordResponse();
        pause.record(100, 600);
        expect([countSends(pause, 650), countSends(pause, 700)]).toEqual([0, 1]);
    });
});
