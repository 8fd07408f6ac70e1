/**
 * Whether a prompt is sent to a model engine, or refused at once with a time to come back.
 *
 * Load pattern: more prompt tokens are demanded than the engines read. Sent on all the same, requests queue at the engines
 * until every first token is late, and work that nobody waits for any more crowds out what could still be in time. A request
 * whose first token would be late is therefore refused while its caller can still come back in time, and what lies beyond an
 * account's fair share goes first.
 *
 * The router states bounds ({@link computePromptBounds}): how long the request may wait behind others, and up to which part of
 * the engine's limit it may use. The engine's owner decides by its books. Accounts beyond their share may use the less of the
 * limit the more of the surplus they have had: with one bound for all, what is left over goes to whoever asks most often. Where
 * no owner answers, the router decides by its own beliefs ({@link checkPromptAdmission}).
 */
import type { ShareUsage } from "../shares/accountShares.js";

/** What is known when a request arrives. */
export interface PromptAdmissionView {
    /** Time to the first event at the best engine. */
    readonly expectedMs: number;
    /** The same for a request at an idle engine: its own prompt's reading alone. */
    readonly unloadedMs: number;
    readonly objectiveMs: number;
    /** Longest pause between two events of a stream that is still in time. */
    readonly pauseObjectiveMs: number;
    readonly remainingMs: number;
    /** What the request's account got, over what it may have. */
    readonly shareUse: ShareUsage;
    /** Smoothed share of engines that have nothing to read, 0 to 1. */
    readonly idleShare: number;
}

/** The decision with what it was made from. */
export type PromptAdmission =
    | { readonly admitted: true }
    | { readonly admitted: false; readonly reason: "late" | "over-share"; readonly retryAfterMs: number };

/**
 * Part of the objective that the expected time may take. Below one, as the estimate is a mean: a request expected just in
 * time is late every other time, and it holds up those behind it.
 */
const usableShare = 0.75;
/** Part of the objective that a request beyond its account's share may wait by beliefs: about the time of one usual prompt. */
const overShareWait = 0.07;
/** The same for each part of the surplus that the account has not used: accounts near the even level wait for those below. */
const levelWait = 0.15;
/**
 * Use of the surplus from which on an account that has had its fair share must let others have theirs. Above 1, so that the level
 * can rise when there is room: it is the mean of what was given, and would only ever fall if all were held to it.
 */
const mostSurplusUse = 1.25;
/** With so many engines idle there is room for everybody. */
const slackIdleShare = 0.5;
/**
 * From here on an account may count as beyond its share: the sums are late by a round of messages, and an account that yields only
 * when all of its share is used has filled the engines by then.
 */
const overShareFrom = 0.75;
/** Part of the pause objective that a request may wait by beliefs: streams at the engine get no token in the meantime. */
const pauseWait = 0.5;
/**
 * Part of the objective after which a caller beyond its share does best to come back: by then what is read now has been read, and
 * the rest of the objective is enough for its own prompt.
 */
const overShareRetry = 0.4;
/**
 * Times the limit that accounts within their share may use: they are few, and floods that fill engines up to the limit must not keep
 * them out.
 */
const withinShareUse = 1.5;
/** From this use of the surplus on an account yields before it has used its whole share. */
const yieldingSurplus = 0.5;
/** Sums older than this may miss most of a flood. */
const trustedAgeMs = 600;
/** Part of the pause objective that a request beyond its account's share may wait: those within it find less ahead of them. */
const overShareWaitShare = 0.35;
/** Part of an engine's limit that accounts beyond their share may use; the rest is for those within it. */
const mostOverShareUse = 0.95;
/** The same for an account at the even level of the surplus: accounts below it find room where it finds none. */
const levelUse = 0.85;
/** By how much an account finds less room for each part of the even level that it has had more. */
const surplusGain = 2.5;
/** Up to this part of the even level of an engine an account is a small one there. */
const smallSurplus = 0.35;
/** From this part on it is one of those that share the engine evenly. */
const levelSurplus = 0.6;
/** An account that has had so many times the level is held back. */
const unevenSurplus = 1.75;
/** However much an account has had, it may use what would otherwise lie idle. */
const leastOverShareUse = 0;
/** Shortest pause before a caller comes back; below it the caller meets the same queue. */
const leastRetryAfterMs = 80;

/** What a request may find at its engine and still be sent there. */
export interface PromptBounds {
    /** Longest wait behind others; milliseconds. */
    readonly maxWaitMs: number;
    /** Part of what the engine may be given that may be in use, 0 to 1. */
    readonly maxUsage: number;
    /** Why it is refused where an engine is beyond the bounds. */
    readonly reason: "late" | "over-share";
}

/** The bounds that the owner of an engine holds a request to. */
export function computePromptBounds(view: Omit<PromptAdmissionView, "expectedMs" | "idleShare">): PromptBounds {
    const usableMs = computeUsableMs(view);
    const mostWaitMs = Math.max(usableMs - view.unloadedMs, usableMs / 2);
    const mostUse = computeMaxUsage(view.shareUse);
    return isBeyondShare(view.shareUse)
        ? {
              maxWaitMs: Math.min(mostWaitMs, view.pauseObjectiveMs * overShareWaitShare),
              maxUsage: mostUse,
              reason: "over-share",
          }
        : { maxWaitMs: mostWaitMs, maxUsage: mostUse, reason: "late" };
}

/** Part of an engine's limit that a request of the account may use. */
export function computeMaxUsage(shareUse: ShareUsage): number {
    return isBeyondShare(shareUse) ? computeSurplusUse(shareUse.surplus) : withinShareUse;
}

/**
 * Whether an account yields to others: before its whole share is used only if it has had much of what is left over, or if the sums
 * are too old to decide by.
 */
function isBeyondShare({ share, surplus, sumsAgeMs }: ShareUsage): boolean {
    const mayHaveMore = surplus >= yieldingSurplus || sumsAgeMs > trustedAgeMs;
    return share >= 1 || (share >= overShareFrom && mayHaveMore);
}

/** Part of an engine's limit for an account beyond its share: less the more of the surplus it has had. */
function computeSurplusUse(surplus: number): number {
    return Math.min(mostOverShareUse, Math.max(leastOverShareUse, levelUse + (1 - surplus) * surplusGain));
}

/**
 * Part of an engine's limit for an account by what it had there over the even level of that engine, whatever the fleet's sums say:
 * beyond the limit for the small ones alone, and little for one that has had much more than the others.
 */
export function computeMaxEngineUsage(surplus: number): number {
    if (surplus > unevenSurplus) {
        return computeSurplusUse(surplus);
    }
    const part = Math.min(1, Math.max(0, (surplus - smallSurplus) / (levelSurplus - smallSurplus)));
    return withinShareUse + (mostOverShareUse - withinShareUse) * part;
}

/** When a caller does best to come back; `roomMs`: when the engine would have taken the request. */
export function computePromptRetryAfterMs(reason: PromptBounds["reason"], objectiveMs: number, roomMs: number): number {
    const leastMs = reason === "over-share" ? objectiveMs * overShareRetry : leastRetryAfterMs;
    return Math.max(leastMs, roomMs);
}

/** Decides on one request by what this router believes of the engine, where its owner does not answer. */
export function checkPromptAdmission(view: PromptAdmissionView): PromptAdmission {
    const waitMs = view.expectedMs - view.unloadedMs;
    if (view.shareUse.share >= overShareFrom) {
        const allowedWaitMs = view.objectiveMs * computeOverShareWait(view);
        if (waitMs > allowedWaitMs) {
            const retryAfterMs = computePromptRetryAfterMs("over-share", view.objectiveMs, waitMs - allowedWaitMs);
            return { admitted: false, reason: "over-share", retryAfterMs };
        }
    }
    const retryAfterMs = Math.max(leastRetryAfterMs, view.expectedMs - computeUsableMs(view));
    return view.expectedMs <= computeAllowedMs(view)
        ? { admitted: true }
        : { admitted: false, reason: "late", retryAfterMs };
}

function computeUsableMs({
    objectiveMs,
    remainingMs: timeLeftMs,
}: Pick<PromptAdmissionView, "objectiveMs" | "remainingMs">): number {
    return Math.min(objectiveMs, timeLeftMs) * usableShare;
}

/**
 * Time to the first event that is let in. A prompt that takes long by itself is never in time; refusing it would only bring
 * it back, so it may be late by its own length, though not by that of a queue.
 */
function computeAllowedMs(view: Omit<PromptAdmissionView, "expectedMs" | "idleShare">): number {
    const usableMs = computeUsableMs(view);
    return Math.min(
        Math.max(usableMs, view.unloadedMs + usableMs / 2),
        view.unloadedMs + view.pauseObjectiveMs * pauseWait,
    );
}

/** Part of the objective; below 0: not even at an engine with nothing to do. */
function computeOverShareWait({ shareUse, idleShare }: PromptAdmissionView): number {
    const left = 1 - shareUse.surplus / mostSurplusUse;
    return left < 0 && idleShare >= slackIdleShare ? 0 : Math.min(overShareWait, levelWait * left);
}
