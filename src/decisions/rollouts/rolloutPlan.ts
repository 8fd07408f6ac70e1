import type { RolloutVerdict } from "./rolloutEvaluator.js";

/**
 * The steps of a roll-out.
 *
 * Targets of the old version stop without draining when the roll-out is complete. So all requests go to the new version some time before,
 * and what runs at the old one ends first. A version may turn bad late or under load: it gets few requests for most of the time, and
 * with them the load of a single target, before it gets more.
 */

/** How far a roll-out is; each step sends more requests to the new version. */
export type RolloutStep =
    /** A few, within the exposure that a bad version may get, until they show whether it is sound. */
    | "canary"
    /** Fewer, as a fault may show later; what is left of the exposure is for the steps that follow. */
    | "watch"
    /** A part of all. */
    | "ramp"
    /** All that its targets can take. */
    | "switch";

/** The end of a roll-out; never left again. */
export type RolloutOutcome = "complete" | "rolled-back";

/** What a decision on the next step goes by. */
export interface RolloutProgress {
    readonly step: RolloutStep;
    /** Since the order; milliseconds. */
    readonly ageMs: number;
    /** Since the step began; milliseconds. */
    readonly stepAgeMs: number;
    /** Within this time after the order a sound version has to be complete; milliseconds. */
    readonly durationMs: number;
    readonly verdict: RolloutVerdict;
    /** Slots of the new version's targets that take requests and are not cold, over those of the old version's. */
    readonly capacityRatio: number;
    /** Whether every router has reported that it sends to the new version and has nothing under way at the old one. */
    readonly isOldVersionIdle: boolean;
    /** Whether the operators took the order back. */
    readonly isWithdrawn: boolean;
}

/** What follows, and why. */
export interface RolloutDecision {
    readonly next: RolloutStep | RolloutOutcome;
    readonly reason: string;
}

/** Part of the requests that the new version gets in the `ramp` step. */
export const rampShare = 0.3;
/** Parts of the duration. */
const watchPart = 0.6;
/** From here on a version that nothing speaks against need not be proved with the tests' full error rates. */
const likelyCanaryPart = 0.62;
const rampPart = 0.08;
/** From here on what still runs at the old version is not waited for. */
const lastPart = 0.93;
const leastRampMs = 600;
const leastSwitchMs = 400;
/** With fewer targets, the new version could not serve what the old one does. */
const leastCapacityRatio = 0.5;

/** The next step or the end; undefined: the roll-out stays where it is. */
export function chooseNextStep(progress: RolloutProgress): RolloutDecision | undefined {
    if (progress.isWithdrawn) {
        return { next: "rolled-back", reason: "the order was withdrawn" };
    }
    if (progress.verdict === "bad") {
        return { next: "rolled-back", reason: "the version fails or is slow more often than the one before" };
    }
    switch (progress.step) {
        case "canary":
            return chooseAfterCanary(progress);
        case "watch":
            return chooseAfterWatch(progress);
        case "ramp":
            return progress.stepAgeMs >= Math.max(leastRampMs, rampPart * progress.durationMs)
                ? { next: "switch", reason: "no fault shows at a part of the load" }
                : undefined;
        case "switch":
            return chooseAfterSwitch(progress);
    }
}

function chooseAfterCanary(progress: RolloutProgress): RolloutDecision | undefined {
    const { verdict, ageMs, durationMs } = progress;
    if (verdict === "good") {
        return { next: "watch", reason: "the version is shown to be sound" };
    }
    if (verdict === "likely-good" && ageMs >= likelyCanaryPart * durationMs) {
        return { next: "watch", reason: "nothing speaks against the version" };
    }
    return ageMs < durationMs
        ? undefined
        : { next: "rolled-back", reason: "too few requests showed whether the version is sound" };
}

function chooseAfterWatch(progress: RolloutProgress): RolloutDecision | undefined {
    const { verdict, ageMs, durationMs, capacityRatio } = progress;
    const isSound = verdict === "good" || verdict === "likely-good";
    if (isSound && ageMs >= watchPart * durationMs && capacityRatio >= leastCapacityRatio) {
        return { next: "ramp", reason: "no fault showed since" };
    }
    if (ageMs < durationMs) {
        return undefined;
    }
    return capacityRatio < leastCapacityRatio
        ? { next: "rolled-back", reason: "too few targets of the version take requests" }
        : { next: "rolled-back", reason: "a fault showed late, and may be one of the version" };
}

function chooseAfterSwitch({
    stepAgeMs,
    ageMs,
    durationMs,
    isOldVersionIdle,
}: RolloutProgress): RolloutDecision | undefined {
    if (stepAgeMs < leastSwitchMs) {
        return undefined;
    }
    if (isOldVersionIdle) {
        return { next: "complete", reason: "nothing runs at the old version any more" };
    }
    return ageMs >= lastPart * durationMs
        ? { next: "complete", reason: "the time for the roll-out is nearly over" }
        : undefined;
}
