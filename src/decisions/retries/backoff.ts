/**
 * Computes the delay before a retry: exponential backoff with full jitter (AWS Architecture Blog, 2015).
 *
 * Load pattern: many requests fail at the same moment because a target or a data centre fails. Without jitter they
 * would all be sent again at the same moment, and the next target would fail under the burst.
 *
 * Thresholds: the first retry is sent within 50 ms, because a single lost target has healthy neighbours; the delay
 * never exceeds 2 s, because the caller's deadline is running.
 */
import type { Random } from "../../base/random.js";

const baseMs = 50;
const maxMs = 2_000;

/** Delay in milliseconds before retry number `retry`, which is 1 for the first. */
export function computeBackoffMs(retry: number, random: Random): number {
    return random.next() * Math.min(maxMs, baseMs * 2 ** (retry - 1));
}
