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
    // A VM is replaced: it falls silent and, later, off the platform's list. Callers see its keys answered as unknown
    // until another agent is home. Taking it out on one sign, or at once, would do so for every network cut.
    it("takes a daemon out only after it was silent and off the list together for long", () => {
        const clock = new ManualClock();
        const evictor = new Evictor(clock);
        const pick = (vms: readonly Vm[], silent: boolean): readonly string[] =>
            evictor.pick(vms, [member], () => silent).map(entry => entry.daemonId);
        const seen: unknown[] = [];
        seen.push(["silent, listed", pick(listed, true)]);
        seen.push(["off the list, answers", pick([], false)]);
        seen.push(["both, first seen", pick([], true)]);
        clock.advance(evictAfterMs - 1);
        seen.push(["both, not long enough", pick([], true)]);
        seen.push(["back on the list", pick(listed, true)]);
        clock.advance(evictAfterMs);
        seen.push(["both, counted anew", pick([], true)]);
        clock.advance(evictAfterMs);
        seen.push(["both for long", pick([], true)]);
        expect(seen).toMatchInlineSnapshot(`
          [
            [
              "silent, listed",
              [],
            ],
            [
              "off the list, answers",
              [],
            ],
            [
              "both, first seen",
              [],
            ],
            [
              "both, not long enough",
              [],
            ],
            [
              "back on the list",
              [],
            ],
            [
              "both, counted anew",
              [],
            ],
            [
              "both for long",
              [
                "agent-1",
              ],
            ],
          ]
        `);
    });
});
