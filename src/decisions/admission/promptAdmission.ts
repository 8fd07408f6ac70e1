/**
 * Whether a request for a model engine is sent on, or refused at once with a time to come back.
 *
 * Load pattern: more prompt tokens are asked for than the engines read. Sent on all the same, requests queue at the engines
 * until every first token is late, and work that nobody waits for any more crowds out what could still be in time. A
 * request whose first token would be late is therefore refused while its caller can still come back in time; and
 * what lies beyond an account's fair share goes first, since the others are owed that capacity.
 *
 * What is left over beyond the shares is worth little to those who get it late, and much to the streams that already run:
 * each prompt that is read lets all streams at its engine stand still. Requests beyond a share therefore go only where
 * hardly anything waits: with 200 ms of waiting 58 to 69 of 100 streams were late on a day with floods, with 40 ms 31 to 39.
 *
 * Several accounts may be beyond their share at once. With one bound for all of them, what is left over goes to whoever
 * asks most. So the wait that such a request may find falls with what the account got of the surplus just now, to nothing
 * for one that is above the even level; above it an account gets only what would otherwise lie idle.
 */
import type { ShareUse } from "../shares/accountShares.js";

/** What is known when a request arrives. */
export interface PromptAdmissionView {
    /** Time to the first event at the best engine. */
    readonly expectedMs: number;
    /** The same for a request at an idle engine: its own prompt's reading alone. */
    readonly aloneMs: number;
    readonly objectiveMs: number;
    /** Longest pause between two events of a stream that is still in time. */
    readonly pauseObjectiveMs: number;
    readonly timeLeftMs: number;
    /** What the request's account got, over what it may have. */
    readonly shareUse: ShareUse;
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
/**
 * Part of the objective that a request may wait behind others when its account has had its fair share: about the time of one
 * usual prompt. At a quarter of the objective the mean worth over five played days was 0.44, at 0.05 0.57 and at 0.02 0.59,
 * but 0.04 less on a quiet day.
 */
const overShareWait = 0.07;
/** The same for each part of the surplus that the account has not used: accounts near the even level wait for those below. */
const levelWait = 0.15;
/**
 * Use of the surplus from which on an account that has had its fair share must let others have theirs. Above 1, so that the level
 * can rise when there is room: it is the mean of what was given, and would only ever fall if all were held to it.
 */
const mostSurplusUse = 1.25;
/**
 * With so many engines idle there is room for everybody, and nothing to be levelled: refusals on a quiet day fell from 0.38 to 0.25
 * of its requests at equal worth.
 */
const slackIdleShare = 0.5;
/**
 * From here on an account counts as having had its share: the fleet's sums are late by a round of messages, and an account that
 * yields only when all of it is used has filled the engines by then. Worth of a quiet day with floods 0.74 at 1, 0.79 at
 * 0.75 and at 0.5; of days with trouble 0.618, 0.622 and 0.616 (mean of five played days each). The price: an account between
 * 0.75 and 1 may be told to come back while engines are busy.
 */
const overShareFrom = 0.75;
/**
 * Part of the pause objective that any request may wait behind others. What waits there is read without a break, and streams
 * that run at the engine get no token in the meantime. Its gain is not shown: mean worth of five played days 0.624 without it,
 * 0.613 to 0.643 with it.
 */
const pauseWait = 0.5;
/**
 * Part of the objective after which a caller beyond his share does best to come back: by then what is read now has been read, and
 * the rest of the objective is enough for his own prompt. After 80 ms he met the same queue; with this 0.54 to 0.64 of the
 * requests of three played days were refused in place of 0.62 to 0.65.
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
const smallSurplus = 0.45;
/** From this part on it is one of those that share the engine evenly. */
const levelSurplus = 0.9;
/** An account that has had so many times the level is held back. */
const unevenSurplus = 1.75;
/** However much an account has had, it may use what would otherwise lie idle. */
const leastOverShareUse = 0;
/** Shortest pause before a caller comes back; below it he meets the same queue, for the price of one more request. */
const leastRetryAfterMs = 80;

/** What a request may find at its engine and still be sent there. */
export interface PromptBounds {
    /** Longest wait behind others; milliseconds. */
    readonly mostWaitMs: number;
    /** Part of what the engine may be given that may be in use, 0 to 1. */
    readonly mostUse: number;
    /** Why it is refused where an engine is beyond the bounds. */
    readonly reason: "late" | "over-share";
}

/** The bounds that the owner of an engine holds a request to. */
export function computePromptBounds(view: Omit<PromptAdmissionView, "expectedMs" | "idleShare">): PromptBounds {
    const usableMs = computeUsableMs(view);
    const mostWaitMs = Math.max(usableMs - view.aloneMs, usableMs / 2);
    if (!isBeyondShare(view.shareUse)) {
        return { mostWaitMs, mostUse: withinShareUse, reason: "late" };
    }
    return {
        mostWaitMs: Math.min(mostWaitMs, view.pauseObjectiveMs * overShareWaitShare),
        mostUse: computeSurplusUse(view.shareUse.surplus),
        reason: "over-share",
    };
}

/**
 * Whether an account yields to others: before its whole share is used only if it has had much of what is left over, or if the sums
 * are too old to tell.
 */
function isBeyondShare({ share, surplus, sumsAgeMs }: ShareUse): boolean {
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
export function computeEngineUse(surplus: number): number {
    if (surplus > unevenSurplus) {
        return computeSurplusUse(surplus);
    }
    const part = Math.min(1, Math.max(0, (surplus - smallSurplus) / (levelSurplus - smallSurplus)));
    return withinShareUse + (mostOverShareUse - withinShareUse) * part;
}

/** When a caller does best to come back; `roomMs`: when the engine would have taken the request. */
export function computePromptRetry(reason: PromptBounds["reason"], objectiveMs: number, roomMs: number): number {
    const leastMs = reason === "over-share" ? objectiveMs * overShareRetry : leastRetryAfterMs;
    return Math.max(leastMs, roomMs);
}

/** Decides on one request by what this router believes of the engine, where its owner does not answer. */
export function checkPromptAdmission(view: PromptAdmissionView): PromptAdmission {
    const waitMs = view.expectedMs - view.aloneMs;
    if (view.shareUse.share >= overShareFrom) {
        const allowedWaitMs = view.objectiveMs * computeOverShareWait(view);
        if (waitMs > allowedWaitMs) {
            const retryAfterMs = computePromptRetry("over-share", view.objectiveMs, waitMs - allowedWaitMs);
            return { admitted: false, reason: "over-share", retryAfterMs };
        }
    }
    const retryAfterMs = Math.max(leastRetryAfterMs, view.expectedMs - computeUsableMs(view));
    return view.expectedMs <= computeAllowedMs(view)
        ? { admitted: true }
        : { admitted: false, reason: "late", retryAfterMs };
}

function computeUsableMs({ objectiveMs, timeLeftMs }: Pick<PromptAdmissionView, "objectiveMs" | "timeLeftMs">): number {
    return Math.min(objectiveMs, timeLeftMs) * usableShare;
}

/**
 * Time to the first event that is let in. A prompt that takes long by itself is never in time; refusing it would only bring
 * it back, so it may be late by its own length, though not by that of a queue.
 */
function computeAllowedMs(view: Omit<PromptAdmissionView, "expectedMs" | "idleShare">): number {
    const usableMs = computeUsableMs(view);
    return Math.min(Math.max(usableMs, view.aloneMs + usableMs / 2), view.aloneMs + view.pauseObjectiveMs * pauseWait);
}

/** Part of the objective; below 0: not even at an engine with nothing to do. */
function computeOverShareWait({ shareUse, idleShare }: PromptAdmissionView): number {
    const left = 1 - shareUse.surplus / mostSurplusUse;
    return left < 0 && idleShare >= slackIdleShare ? 0 : Math.min(overShareWait, levelWait * left);
}
