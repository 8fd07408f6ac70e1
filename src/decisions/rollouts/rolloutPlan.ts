import type { RolloutVerdict } from "./rolloutEvaluator.js";

/**
 * The steps of a roll-out.
 *
 * Targets of the old version stop without draining when the roll-out is complete. All requests are therefore sent to
 * the new version some time before, and requests running at the old version can finish. A version may turn out to be
 * faulty late or under load, so it receives few requests for most of the time, and then the load of a single target,
 * before it receives more.
 */

/** The step of a roll-out; later steps send more requests to the new version, except `watch`. */
export type RolloutStep =
    /** A few requests, within the exposure allowed for a faulty version, until they show whether it is sound. */
    | "canary"
    /** Fewer requests, since a fault may appear late; the remaining exposure is reserved for the following steps. */
    | "watch"
    /** A fixed fraction of all requests. */
    | "ramp"
    /** All requests that its targets can take. */
    | "switch";

/** The final outcome of a roll-out. */
export type RolloutOutcome = "complete" | "rolled-back";

/** State from which the next step is chosen. */
export interface RolloutProgress {
    readonly step: RolloutStep;
    /** Time since the order, in milliseconds. */
    readonly ageMs: number;
    /** Time since the step began, in milliseconds. */
    readonly stepAgeMs: number;
    /** A sound version has to be complete within this time after the order, in milliseconds. */
    readonly durationMs: number;
    readonly verdict: RolloutVerdict;
    /**
     * Slots of the new version's targets that accept requests and are not cold, divided by the slots of the old
     * version's.
     */
    readonly capacityRatio: number;
    /**
     * Whether every router has reported that it sends to the new version and has no requests running at the old one.
     */
    readonly isOldVersionIdle: boolean;
    /** Whether the operators withdrew the order. */
    readonly isWithdrawn: boolean;
}

/** The next step or outcome, and the reason for it. */
export interface RolloutDecision {
    readonly next: RolloutStep | RolloutOutcome;
    readonly reason: string;
}

/** Fraction of the requests that the new version receives in the `ramp` step. */
export const rampShare = 0.3;
/** Fractions of the roll-out's duration. */
const watchFraction = 0.6;
/**
 * From this fraction on, a version without evidence against it need not be proven sound with the full error rates of
 * the tests.
 */
const likelyCanaryFraction = 0.62;
const rampFraction = 0.08;
/** From this fraction on, requests still running at the old version are no longer waited for. */
const maxWaitFraction = 0.93;
const minRampMs = 600;
const minSwitchMs = 400;
/** With a lower ratio, the new version could not serve the old version's load. */
const minCapacityRatio = 0.5;

/** Chooses the next step or the outcome; undefined if the roll-out stays in its current step. */
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
            return progress.stepAgeMs >= Math.max(minRampMs, rampFraction * progress.durationMs)
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
    if (verdict === "likely-good" && ageMs >= likelyCanaryFraction * durationMs) {
        return { next: "watch", reason: "nothing speaks against the version" };
    }
    return ageMs < durationMs
        ? undefined
        : { next: "rolled-back", reason: "too few requests showed whether the version is sound" };
}

function chooseAfterWatch(progress: RolloutProgress): RolloutDecision | undefined {
    const { verdict, ageMs, durationMs, capacityRatio } = progress;
    const isSound = verdict === "good" || verdict === "likely-good";
    if (isSound && ageMs >= watchFraction * durationMs && capacityRatio >= minCapacityRatio) {
        return { next: "ramp", reason: "no fault showed since" };
    }
    if (ageMs < durationMs) {
        return undefined;
    }
    return capacityRatio < minCapacityRatio
        ? { next: "rolled-back", reason: "too few targets of the version take requests" }
        : { next: "rolled-back", reason: "a fault showed late, and may be one of the version" };
}

function chooseAfterSwitch({
    stepAgeMs,
    ageMs,
    durationMs,
    isOldVersionIdle,
}: RolloutProgress): RolloutDecision | undefined {
    if (stepAgeMs < minSwitchMs) {
        return undefined;
    }
    if (isOldVersionIdle) {
        return { next: "complete", reason: "nothing runs at the old version any more" };
    }
    return ageMs >= maxWaitFraction * durationMs
        ? { next: "complete", reason: "the time for the roll-out is nearly over" }
        : undefined;
}
