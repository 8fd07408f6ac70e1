/**
 * Cost of an engine's memory that running requests hold.
 *
 * Load pattern: long prompts. An engine that has cached the beginning of a prompt may have no memory for the rest: the request would wait
 * until others end, or one of them would be preempted and prefilled again. Another engine then has its output sooner, although it has to
 * prefill the whole prompt.
 */

/** Fraction of the memory from which a request is expected to wait; outputs may be longer than expected. */
const waitingFraction = 0.8;
/** Expected wait at an engine whose memory the request would fill: about that for a slot of a full batch. Milliseconds. */
const fullMemoryMs = 1_000;
/** Cost of an engine where the request does not fit: more than all other terms, so that any engine where it fits is chosen. Milliseconds. */
const unfitMs = 60_000;

/**
 * Expected wait of a request that needs `neededTokens` beside the tokens held by running requests; milliseconds. 0 if what is held or the size
 * of the memory is unknown or not a number. Where the request does not fit, the engine is no choice while it fits at another one; if it fits
 * at none, the engine's owner decides, as other routers only estimate what is held. A request larger than the whole memory is left to an engine
 * that holds nothing else.
 */
export function computeMemoryWaitMs(
    heldTokens: number | undefined,
    neededTokens: number,
    memoryTokens: number | undefined,
): number {
    if (heldTokens === undefined || memoryTokens === undefined || !(heldTokens > 0) || !(memoryTokens > 0)) {
        return 0;
    }
    const usage = (heldTokens + neededTokens) / memoryTokens;
    if (usage > 1) {
        return unfitMs;
    }
    return (Math.max(0, usage - waitingFraction) / (1 - waitingFraction)) * fullMemoryMs;
}
