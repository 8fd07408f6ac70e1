import { describe, expect, it } from "vitest";
import { ManualClock } from "../../src/base/clock.js";
import { evictAfterMs, Evictor } from "../../src/fleet/evictor.js";
import type { RosterEntry } from "../../src/fleet/rosterEntry.js";
import type { Vm } from "../../src/infrastructure/vmList.js";

const member: RosterEntry = {
    daemonId: "agent-1",
    role: "agent",
    incarnation: 1,
    address: "127.0.0.1:1",
    dataCentre: "gt-a",
    vmId: "vm-1",
    services: [],
};
const listed: readonly Vm[] = [{ id: "vm-1", dataCentre: "gt-a", state: "live" }];

describe("Evictor", () => {
    // A replaced VM stops responding and later disappears from the platform's list. Until another agent owns its keys,
    // their callers receive "key unknown". If one sign alone sufficed, or eviction were immediate, that would happen on
    // every network failure.
    it("evicts a daemon only after it was both unresponsive and unlisted for the whole period", () => {
        const clock = new ManualClock();
        const evictor = new Evictor(clock);
        const pick = (vms: readonly Vm[], unresponsive: boolean): readonly string[] =>
            evictor.pick(vms, [member], () => unresponsive).map(entry => entry.daemonId);
        const results: unknown[] = [];
        results.push(["unresponsive, listed", pick(listed, true)]);
        results.push(["unlisted, responsive", pick([], false)]);
        results.push(["unresponsive and unlisted, first seen", pick([], true)]);
        clock.advance(evictAfterMs - 1);
        results.push(["unresponsive and unlisted, too short", pick([], true)]);
        results.push(["listed again", pick(listed, true)]);
        clock.advance(evictAfterMs);
        results.push(["unresponsive and unlisted, period restarted", pick([], true)]);
        clock.advance(evictAfterMs);
        results.push(["unresponsive and unlisted, whole period", pick([], true)]);
        expect(results).toMatchInlineSnapshot(`
          [
            [
              "unresponsive, listed",
              [],
            ],
            [
              "unlisted, responsive",
              [],
            ],
            [
              "unresponsive and unlisted, first seen",
              [],
            ],
            [
              "unresponsive and unlisted, too short",
              [],
            ],
            [
              "listed again",
              [],
            ],
            [
              "unresponsive and unlisted, period restarted",
              [],
            ],
            [
              "unresponsive and unlisted, whole period",
              [
                "agent-1",
              ],
            ],
          ]
        `);
    });
});
