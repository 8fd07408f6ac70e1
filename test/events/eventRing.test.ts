import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ManualClock } from "../../src/base/clock.js";
import { EventRing } from "../../src/events/eventRing.js";
import type { HybridTime } from "../../src/events/fleetEvent.js";
import { compareHybridTimes, HybridClock } from "../../src/events/hybridClock.js";

describe("EventRing", () => {
    it("keeps the newest events and numbers them, so that a late reader sees the gap", () => {
        const clock = new ManualClock();
        const ring = new EventRing(new HybridClock(clock), { daemon: "router-1", incarnation: 3 }, 3);
        for (let value = 1; value <= 5; value++) {
            clock.advance(value % 2);
            ring.record({ kind: "request-accepted", value });
        }
        const list = (since: number): string[] =>
            ring
                .listSince(since)
                .map(event => `${event.sequence} at ${event.time.wallMs % 1000}.${event.time.counter}`);
        expect(list(0)).toEqual(["3 at 2.0", "4 at 2.1", "5 at 3.0"]);
        expect(list(4)).toEqual(["5 at 3.0"]);
        expect(list(9)).toEqual([]);
    });
});

describe("HybridClock", () => {
    // The operator sees an answer recorded before the request it answers.
    // Processes whose wall clocks differ send each other messages; each reading must be larger than all it depends on,
    // since the time line sorts by it.
    it("orders a receipt after its sending, whatever the wall clocks say", () => {
        const step = fc.record({ from: fc.nat(2), to: fc.nat(2), advance: fc.nat(40) });
        fc.assert(
            fc.property(
                fc.array(step, { maxLength: 60 }),
                fc.array(fc.nat(50_000), { minLength: 3, maxLength: 3 }),
                (steps, skews) => {
                    const walls = skews.map(skew => new ManualClock(skew));
                    const clocks = walls.map(wall => new HybridClock(wall));
                    const latest: HybridTime[] = clocks.map(clock => clock.now());
                    for (const { from, to, advance } of steps) {
                        walls[from].advance(advance);
                        const sent = clocks[from].now();
                        expect(compareHybridTimes(sent, latest[from])).toBeGreaterThan(0);
                        latest[from] = sent;
                        expect(clocks[to].merge(sent)).toBe(true);
                        const received = clocks[to].now();
                        expect(compareHybridTimes(received, sent)).toBeGreaterThan(0);
                        latest[to] = received;
                    }
                },
            ),
            { seed: 5, numRuns: 200 },
        );
    });

    it("leaves out a peer whose clock runs an hour ahead", () => {
        const clock = new HybridClock(new ManualClock());
        const before = clock.now();
        expect(clock.merge({ wallMs: before.wallMs + 3_600_000, counter: 0 })).toBe(false);
        expect(clock.now()).toEqual({ wallMs: before.wallMs, counter: before.counter + 1 });
    });
});
