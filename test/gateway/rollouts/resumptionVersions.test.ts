import { describe, expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { ResumptionVersions } from "../../../src/gateway/rollouts/resumptionVersions.js";
import type { RolloutStatus } from "../../../src/gateway/rollouts/rolloutRecords.js";
import { ServiceRollout } from "../../../src/gateway/rollouts/serviceRollout.js";
import type { Target } from "../../../src/gateway/target.js";

const running: RolloutStatus = {
    service: "engines",
    version: "v2",
    state: "running",
    step: "canary",
    startedAt: new Date("2026-01-01T00:00:00Z"),
    reason: "",
    rejectedVersions: ["v0"],
};

function createTarget(version: string): Target {
    return { entry: { service: "engines", version } } as unknown as Target;
}

/** Which of the versions streams may be resumed at that each version began. */
function listResumable(status: Partial<RolloutStatus>, change: (rollout: ServiceRollout) => void): readonly string[] {
    const order = { service: "engines", version: "v2", durationMs: 10_000 };
    const rollout = new ServiceRollout(order, { share: 0.1, slack: 10 }, 1, [], new ManualClock());
    rollout.applyStatus({ ...running, ...status });
    change(rollout);
    return ["v0", "v1", "v2"].filter(version => {
        const versions = new ResumptionVersions(
            { findRollout: () => rollout },
            ({ entry }) => entry.version === version,
        );
        return versions.isAllowed(createTarget(version)) && !versions.isAllowed(createTarget("v3"));
    });
}

describe("streams that are resumed beside a roll-out", () => {
    // After a failed attempt a request usually goes to the baseline, also when the candidate has begun its stream.
    it("go on at the version that began them, except at a rejected one", () => {
        const nothing = (): void => undefined;
        expect({
            running: listResumable({}, nothing),
            complete: listResumable({ state: "complete", step: "switch" }, nothing),
            rolledBack: listResumable({ state: "rolled-back" }, nothing),
            bad: listResumable({}, rollout => rollout.recordBad()),
        }).toMatchInlineSnapshot(`
          {
            "bad": [
              "v1",
            ],
            "complete": [
              "v1",
              "v2",
            ],
            "rolledBack": [
              "v1",
            ],
            "running": [
              "v1",
              "v2",
            ],
          }
        `);
    });

    it("count against the exposure of a version that is not known to be sound", () => {
        const resumable = listResumable({}, rollout => {
            for (let count = 0; count < 5; count++) {
                rollout.recordResumption("v2");
            }
        });
        expect(resumable).toEqual(["v1"]);
    });
});
