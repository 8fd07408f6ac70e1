import { expect, it } from "vitest";
import { chooseNextStep, type RolloutProgress } from "../../../src/decisions/rollouts/rolloutPlan.js";

const sound: RolloutProgress = {
    step: "canary",
    ageMs: 7_000,
    stepAgeMs: 7_000,
    durationMs: 12_000,
    verdict: "good",
    capacityRatio: 1,
    isOldVersionIdle: false,
    isWithdrawn: false,
};

it.each([
    ["stays at few requests until it is shown to be sound", { verdict: "open" }, undefined],
    ["is watched with fewer requests once it is shown to be sound", { ageMs: 3_000 }, "watch"],
    ["stays at few requests longer if there merely is no evidence against it", { verdict: "likely-good" }, undefined],
    [
        "is watched late in the canary step if there is no evidence against it",
        { verdict: "likely-good", ageMs: 7_600 },
        "watch",
    ],
    ["is watched for most of its duration", { step: "watch", ageMs: 7_000 }, undefined],
    ["receives more requests after the watch step", { step: "watch", ageMs: 7_300 }, "ramp"],
    [
        "receives no more requests while a fault may have begun",
        { step: "watch", verdict: "open", ageMs: 7_300 },
        undefined,
    ],
    ["waits for targets that could serve the load", { step: "watch", capacityRatio: 0.3, ageMs: 8_000 }, undefined],
    [
        "is rolled back at the time limit without them",
        { step: "watch", capacityRatio: 0.3, ageMs: 12_000 },
        "rolled-back",
    ],
    ["is rolled back at the time limit without evidence", { verdict: "open", ageMs: 12_000 }, "rolled-back"],
    ["is rolled back as soon as it is bad", { verdict: "bad", ageMs: 100 }, "rolled-back"],
    ["is rolled back when it is bad in the last step", { verdict: "bad", step: "switch" }, "rolled-back"],
    ["is rolled back when it is withdrawn", { isWithdrawn: true }, "rolled-back"],
    ["stays at a part of the load for a while", { step: "ramp", stepAgeMs: 500 }, undefined],
    ["receives all requests after the ramp step", { step: "ramp", stepAgeMs: 1_000 }, "switch"],
    ["waits for requests running at the old version", { step: "switch", ageMs: 9_000 }, undefined],
    ["is complete once nothing runs at the old version", { step: "switch", isOldVersionIdle: true }, "complete"],
    ["is complete when its time limit is nearly reached", { step: "switch", ageMs: 11_500 }, "complete"],
] as const)("a version %s", (...[, changes, next]) => {
    expect(chooseNextStep({ ...sound, ...changes })?.next).toBe(next);
});
