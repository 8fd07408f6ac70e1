import { describe, expect, it } from "vitest";
import { OverloadDetector, type LoopSample } from "../../../src/decisions/admission/overload.js";

/** Records the same sample every 50 ms for a time. */
function observeFor(detector: OverloadDetector, ms: number, sample: LoopSample): string {
    for (let atMs = 0; atMs < ms; atMs += 50) {
        detector.observe(sample);
    }
    return `shed ${detector.shedShare.toFixed(2)}, ${detector.shouldLeaveBalancer ? "leave" : "stay"}`;
}

describe("detection of an overloaded router", () => {
    // Too many new connections: the loop is never idle, but its iterations are short, so that timers fire on time. Callers wait in
    // the accept queue until they time out.
    it("detects a loop that is always busy, although its timers fire on time", () => {
        const detector = new OverloadDetector();
        const busy = { delayMs: 4, utilization: 1 };
        const idle = { delayMs: 1, utilization: 0.2 };
        expect([
            observeFor(detector, 200, busy),
            observeFor(detector, 2_000, busy),
            observeFor(detector, 300, idle),
            observeFor(detector, 1_500, idle),
        ]).toMatchInlineSnapshot(`
          [
            "shed 0.00, stay",
            "shed 0.26, leave",
            "shed 0.00, leave",
            "shed 0.00, stay",
          ]
        `);
    });

    // A starting router has no idle time while it loads and compiles code; the requests that it would refuse could be served.
    it("detects no overload in the first second of a process", () => {
        const detector = new OverloadDetector();
        expect(observeFor(detector, 1_000, { delayMs: 4, utilization: 1 })).toMatchInlineSnapshot(`"shed 0.00, stay"`);
    });

    it("detects timers that fire late", () => {
        const detector = new OverloadDetector();
        const slow = { delayMs: 200, utilization: 0.5 };
        expect(observeFor(detector, 1_000, slow)).toMatchInlineSnapshot(`"shed 0.70, leave"`);
    });

    it("ignores a single long pause", () => {
        const detector = new OverloadDetector();
        observeFor(detector, 50, { delayMs: 230, utilization: 1 });
        expect(observeFor(detector, 50, { delayMs: 0, utilization: 0.1 })).toMatchInlineSnapshot(`"shed 0.00, stay"`);
    });
});
