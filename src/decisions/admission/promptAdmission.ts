/**
 * Admission control for prompts: decides whether a prompt is sent to a model engine or refused immediately with a retry delay.
 *
 * Load pattern: more prompt tokens are requested than the engines can prefill. If all requests were sent on, they would queue at the
 * engines until every first token is late, and requests whose callers no longer wait would displace those that could still be in time.
 * A request whose first token would be late is therefore refused while its caller can still retry in time, and requests beyond an
 * account's fair share are refused first.
 *
 * The router computes bounds ({@link computePromptBounds}): the maximum wait in the engine's queue, and the maximum fraction of
 * the engine's limit that the request may use. The engine's owner decides by its accounting. The more of the surplus (the capacity
 * beyond the accounts' fair shares) an account beyond its share has been served, the smaller the fraction of the limit that it may use:
 * with one bound for all accounts, the surplus would go to the accounts with the highest request rate. If no owner replies, the
 * router decides by its own estimates ({@link checkPromptAdmission}).
 */
import { maxAllowance } from "./spareAllowance.js";
import type { ShareUsage } from "../shares/accountShares.js";

/** State on which the admission of a prompt is decided. */
export interface PromptAdmissionView {
    /** Expected time to the first event at the best engine; milliseconds. */
    readonly expectedMs: number;
    /** The same at an idle engine: only the prefill of the request's own prompt. */
    readonly unloadedMs: number;
    /** Objective for the time to the first event; milliseconds. */
    readonly objectiveMs: number;
    /** Objective for the longest pause between two events of a stream; milliseconds. */
    readonly pauseObjectiveMs: number;
    /** Time remaining until the request's deadline; milliseconds. */
    readonly remainingMs: number;
    /** Tokens served to the request's account, relative to its entitlement. */
    readonly shareUse: ShareUsage;
    /** Smoothed fraction of engines whose prefill queue is empty, 0 to 1. */
    readonly idleShare: number;
}

/** The admission decision; a refusal has its reason and the retry delay. */
export type PromptAdmission =
    | { readonly admitted: true }
    | { readonly admitted: false; readonly reason: "late" | "over-share"; readonly retryAfterMs: number };

/**
 * Fraction of the objective that the expected time may take. Below one, as the estimate is a mean: a request that is expected just in
 * time would be late every other time, and it delays the requests queued after it.
 */
const usableFraction = 0.75;
/**
 * Fraction of the objective that a request beyond its account's share may be expected to wait, by this router's estimates; about the
 * prefill time of one usual prompt.
 */
const overShareWaitFraction = 0.07;
/** The same per unused fraction of the surplus: accounts near the fair level wait for those below it. */
const surplusWaitFraction = 0.15;
/**
 * Surplus usage above which an account that has been served its fair share yields to others. Above 1, so that the fair level can rise
 * when there is capacity: the level is the mean of the served tokens, and would only ever fall if all accounts were limited to it.
 */
const maxSurplusUsage = 1.25;
/** From this fraction of idle engines on there is capacity for all accounts. */
const spareCapacityIdleShare = 0.5;
/**
 * Share usage from which an account may count as beyond its share. Below 1, because totals are delayed by a round of messages: an account
 * that yields only when its whole share is used has filled the engines by then.
 */
const overShareThreshold = 0.75;
/**
 * Fraction of the pause objective that a request may be expected to wait, by this router's estimates: streams at the engine receive no
 * token in the meantime.
 */
const pauseWaitFraction = 0.5;
/**
 * Fraction of the objective after which a caller beyond its share should retry: by then the engine has completed the current prefill, and
 * the rest of the objective is enough for the caller's own prompt.
 */
const overShareRetryFraction = 0.4;
/**
 * Multiple of an engine's limit that accounts within their share may use: they have few requests, and must not be refused because
 * overloading accounts fill the engines up to the limit.
 */
const maxWithinShareUsage = 1.5;
/** Surplus usage from which an account yields before its whole share is used. */
const yieldingSurplusThreshold = 0.5;
/** Totals older than this may miss most of an overload; milliseconds. */
const maxTrustedAgeMs = 600;
/**
 * Fraction of the pause objective that a request beyond its account's share may wait; it keeps the queue short for requests
 * within their share.
 */
const overSharePauseFraction = 0.35;
/** Maximum fraction of an engine's limit for accounts beyond their share; the rest is reserved for accounts within their share. */
const maxOverShareUsage = 0.95;
/** The same for an account at the fair level of the surplus, so that accounts below the level are granted capacity before it. */
const fairLevelUsage = 0.85;
/** Decrease of the usable fraction of the limit per unit of surplus usage above the fair level. */
const surplusUsageSlope = 2.5;
/** Up to this fraction of an engine's fair level an account counts as small at the engine. */
const smallSurplusThreshold = 0.35;
/** From this fraction on an account counts as one of those that share the engine evenly. */
const evenSurplusThreshold = 0.6;
/** Above this multiple of an engine's fair level an account is limited by its surplus usage. */
const excessSurplusThreshold = 1.75;
/** Lower bound of the usable fraction: however much an account has been served, it may use an engine that would otherwise be idle. */
const minOverShareUsage = 0;
/** However far above the fair level an account is, the maximum allowance raises its fraction to that of an account at the level. */
const minReachedUsage = fairLevelUsage - maxAllowance;
/** Fraction of the objective over which the returns of requests beyond their deadline are spread. */
const spreadRetryFraction = 0.25;
/** Minimum retry delay: a caller that retries sooner finds the same queue; milliseconds. */
const minRetryAfterMs = 80;

/** Upper bounds on an engine's load for a request to be sent to the engine. */
export interface PromptBounds {
    /** Maximum wait in the engine's queue; milliseconds. */
    readonly maxWaitMs: number;
    /** Maximum fraction of the engine's limit that may be in use, 0 to 1, or above 1 for accounts within their share. */
    readonly maxUsage: number;
    /** Reason of the refusal if an engine exceeds the bounds. */
    readonly reason: "late" | "over-share";
}

/** Computes the bounds that the owner of an engine applies to a request. */
export function computePromptBounds(
    view: Omit<PromptAdmissionView, "expectedMs" | "idleShare">,
    minUsage = minOverShareUsage,
): PromptBounds {
    const usableMs = computeUsableMs(view);
    const maxWaitMs = Math.max(usableMs - view.unloadedMs, usableMs / 2);
    const maxUsage = computeMaxUsage(view.shareUse, minUsage);
    return isBeyondShare(view.shareUse)
        ? {
              maxWaitMs: Math.min(maxWaitMs, view.pauseObjectiveMs * overSharePauseFraction),
              maxUsage,
              reason: "over-share",
          }
        : { maxWaitMs, maxUsage, reason: "late" };
}

/**
 * Maximum fraction of an engine's limit that a request of the account may use. `minUsage`: lower bound; below 0 where the engine's owner
 * adds its allowance ({@link addAllowance}).
 */
export function computeMaxUsage(shareUse: ShareUsage, minUsage = minOverShareUsage): number {
    return isBeyondShare(shareUse) ? computeOverShareUsage(shareUse.surplus, minUsage) : maxWithinShareUsage;
}

/** Whether a fraction of an engine's limit is that of a request within its account's share. */
export function isWithinShareUsage(maxUsage: number): boolean {
    return maxUsage > maxOverShareUsage;
}

/** Whether a fraction of an engine's limit, without an allowance, is that of a request below the fair level of the surplus. */
export function isBelowLevelUsage(maxUsage: number): boolean {
    return maxUsage >= maxOverShareUsage;
}

/** Adds the allowance of an engine to the fraction of its limit that a request may use, for requests beyond their account's share. */
export function addAllowance(maxUsage: number, allowance: number): number {
    return isWithinShareUsage(maxUsage)
        ? maxUsage
        : Math.min(maxOverShareUsage, Math.max(minOverShareUsage, Math.max(minReachedUsage, maxUsage) + allowance));
}

/**
 * Whether an account yields to others. Before its whole share is used it yields only if it has been served much of the surplus, or if
 * the totals are too old to be reliable.
 */
function isBeyondShare({ share, surplus, sumsAgeMs }: ShareUsage): boolean {
    const mayExceedShare = surplus >= yieldingSurplusThreshold || sumsAgeMs > maxTrustedAgeMs;
    return share >= 1 || (share >= overShareThreshold && mayExceedShare);
}

/** Usable fraction of an engine's limit for an account beyond its share; it falls with the account's surplus usage. */
function computeOverShareUsage(surplus: number, minUsage: number): number {
    return Math.min(maxOverShareUsage, Math.max(minUsage, fairLevelUsage + (1 - surplus) * surplusUsageSlope));
}

/**
 * Usable fraction of an engine's limit for an account, by the tokens that it was served at this engine relative to the engine's fair
 * level, regardless of the fleet's totals: above 1 only for small accounts, and small for an account that was served
 * much more than the others. `minUsage`: lower bound.
 */
export function computeMaxEngineUsage(surplus: number, minUsage = minOverShareUsage): number {
    if (surplus > excessSurplusThreshold) {
        return computeOverShareUsage(surplus, minUsage);
    }
    const position = Math.min(
        1,
        Math.max(0, (surplus - smallSurplusThreshold) / (evenSurplusThreshold - smallSurplusThreshold)),
    );
    return maxWithinShareUsage + (maxOverShareUsage - maxWithinShareUsage) * position;
}

/** Retry delay for a refused caller; `capacityMs`: time until the engine has capacity for the request; milliseconds. */
export function computePromptRetryAfterMs(
    reason: PromptBounds["reason"],
    objectiveMs: number,
    capacityMs: number,
): number {
    const minMs = reason === "over-share" ? objectiveMs * overShareRetryFraction : minRetryAfterMs;
    return Math.max(minMs, capacityMs);
}

/**
 * Whether no engine is expected to have output for the request before its deadline, of which the estimates are for the best one. A request
 * for an engine without a queue is always sent: if it were refused, a wrong estimate of the engines' speed would never be corrected.
 */
export function isBeyondDeadline({
    expectedMs,
    unloadedMs,
    remainingMs,
}: Pick<PromptAdmissionView, "expectedMs" | "unloadedMs" | "remainingMs">): boolean {
    return expectedMs > unloadedMs && expectedMs > remainingMs;
}

/**
 * Retry delay for a request that is refused as it is beyond its deadline. `random`: 0 to 1; requests that were refused together must not
 * return together.
 */
export function computeSpreadRetryMs(objectiveMs: number, random: number): number {
    return minRetryAfterMs + objectiveMs * spreadRetryFraction * random;
}

/** Decides on a request by this router's own estimates, for an engine whose owner does not reply. */
export function checkPromptAdmission(view: PromptAdmissionView): PromptAdmission {
    const waitMs = view.expectedMs - view.unloadedMs;
    if (view.shareUse.share >= overShareThreshold) {
        const allowedWaitMs = view.objectiveMs * computeOverShareWaitFraction(view);
        if (waitMs > allowedWaitMs) {
            const retryAfterMs = computePromptRetryAfterMs("over-share", view.objectiveMs, waitMs - allowedWaitMs);
            return { admitted: false, reason: "over-share", retryAfterMs };
        }
    }
    const retryAfterMs = Math.max(minRetryAfterMs, view.expectedMs - computeUsableMs(view));
    return view.expectedMs <= computeAllowedMs(view)
        ? { admitted: true }
        : { admitted: false, reason: "late", retryAfterMs };
}

function computeUsableMs({
    objectiveMs,
    remainingMs,
}: Pick<PromptAdmissionView, "objectiveMs" | "remainingMs">): number {
    return Math.min(objectiveMs, remainingMs) * usableFraction;
}

/**
 * Maximum expected time to the first event of an admitted request; milliseconds. A prompt whose own prefill takes long is never in time.
 * Refusing it would only cause a retry, so it may be late by its own prefill time, but not by the wait in a queue.
 */
function computeAllowedMs(view: Omit<PromptAdmissionView, "expectedMs" | "idleShare">): number {
    const usableMs = computeUsableMs(view);
    return Math.min(
        Math.max(usableMs, view.unloadedMs + usableMs / 2),
        view.unloadedMs + view.pauseObjectiveMs * pauseWaitFraction,
    );
}

/** Maximum wait of a request beyond its account's share, as a fraction of the objective; below 0 it is refused even at an idle engine. */
function computeOverShareWaitFraction({ shareUse, idleShare }: PromptAdmissionView): number {
    const remaining = 1 - shareUse.surplus / maxSurplusUsage;
    return remaining < 0 && idleShare >= spareCapacityIdleShare
        ? 0
        : Math.min(overShareWaitFraction, surplusWaitFraction * remaining);
}
