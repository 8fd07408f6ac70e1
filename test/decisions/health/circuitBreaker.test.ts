import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { CircuitBreaker } from "../../../src/decisions/health/circuitBreaker.js";

describe("CircuitBreaker", () => {
    // Limits the errors that callers receive from one failing target to five. The target fails requests immediately and
    // so always has capacity; the circuit opens, allows one probe after each pause, and closes after the first output.
    it("opens after five failures, sends single probes with growing pauses, and closes on output", () => {
        const circuit = new CircuitBreaker(new SeededRandom(1));
        const log: string[] = [];
        for (let index = 0; index < 5; index += 1) {
            log.push(circuit.observeFailure(`r${index}`, 1_000) ? "open" : "closed");
        }
        const firstProbeMs = circuit.probeAtMs ?? 0;
        log.push(`${circuit.canStart(1_000)} ${circuit.canStart(firstProbeMs)}`);
        circuit.observeStart("probe-1");
        log.push(`second at once ${circuit.canStart(firstProbeMs)}`);
        circuit.observeFailure("late-one", firstProbeMs);
        circuit.observeFailure("probe-1", firstProbeMs);
        log.push(`pauses ${Math.round(firstProbeMs - 1_000)} ${Math.round((circuit.probeAtMs ?? 0) - firstProbeMs)}`);
        circuit.observeStart("probe-2");
        circuit.observeFirstOutput();
        log.push(`after output ${circuit.canStart(firstProbeMs)}`);
        expect(log).toMatchInlineSnapshot(`
          [
            "closed",
            "closed",
            "closed",
            "closed",
            "open",
            "false true",
            "second at once false",
            "pauses 407 501",
            "after output true",
          ]
        `);
    });

    // Output of a target that answers endlessly is no sign of recovery: each further response would take time from all other requests.
    it("opens after one endless response, and then closes only after a complete one", () => {
        const circuit = new CircuitBreaker(new SeededRandom(1));
        const log: string[] = [];
        log.push(circuit.observeFailure("r1", 1_000, true) ? "open" : "closed");
        const probeAtMs = circuit.probeAtMs ?? 0;
        circuit.observeStart("probe-1");
        circuit.observeFirstOutput();
        log.push(`after output ${circuit.canStart(probeAtMs)}`);
        circuit.observeFailure("probe-1", probeAtMs, true);
        log.push(`pauses ${Math.round(probeAtMs - 1_000)} ${Math.round((circuit.probeAtMs ?? 0) - probeAtMs)}`);
        circuit.observeStart("probe-2");
        circuit.observeNeutralEnd("probe-2");
        log.push(`after a cancelled probe ${circuit.canStart(circuit.probeAtMs ?? 0)}`);
        circuit.observeStart("probe-3");
        circuit.observeSuccess();
        log.push(`after a complete response ${circuit.canStart(probeAtMs)}`);
        log.push(circuit.observeFailure("r2", 1_000) ? "open" : "closed");
        expect(log).toMatchInlineSnapshot(`
          [
            "open",
            "after output false",
            "pauses 407 501",
            "after a cancelled probe true",
            "after a complete response true",
            "closed",
          ]
        `);
    });
});
