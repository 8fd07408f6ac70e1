/**
 * How much an engine may be given to read in any span of the pause objective, learnt from the pauses of streams; as a part of
 * what it would read in that time at its learnt speed.
 *
 * Load pattern: a dense flood, with a prompt waiting whenever an engine has nothing to read. How much reading streams bear
 * depends on how many tokens an event holds and how long a step with a chunk takes, which no engine reports. Too high a part
 * makes running streams late, too low a one leaves engines idle while callers are refused.
 *
 * Stochastic approximation of a quantile (Robbins and Monro, 1951), on the logarithm: a late stream lowers the part by a step, one
 * in time raises it by a small fraction of that, so that it settles where the given part of streams is late. A stream in time
 * counts only if the part was in use when it began: at idle engines it says nothing of what streams bear.
 */

/** Used until streams were observed: engines generate in the rest of the time. */
const initialShare = 0.8;
/** Bounds that keep a fault that stalls all streams, or a wrong speed, from moving the part out of reach. */
const leastShare = 0.3;
const mostShare = 1.5;
/** Streams that may be late by a pause. */
const lateShare = 0.06;
/** Step of a late stream once many were seen, and at first. */
const settledStep = 0.012;
const firstStep = 0.06;
/** Streams after which the step has settled. */
const settlingStreams = 100;
/** A stream in time counts when so much of the part was in use at its start. */
const usedFrom = 0.5;

/** Learns one service's part. */
export class PrefillShare {
    private share = initialShare;
    private streams = 0;

    public get current(): number {
        return this.share;
    }

    /** `use`: part of the engine's reading time that was given away when the stream began. */
    public observe(isLate: boolean, use: number): void {
        if (!isLate && use < this.share * usedFrom) {
            return;
        }
        this.streams += 1;
        const settled = Math.min(1, this.streams / settlingStreams);
        const step = firstStep + (settledStep - firstStep) * settled;
        const change = isLate ? -step : (step * lateShare) / (1 - lateShare);
        this.share = Math.min(mostShare, Math.max(leastShare, this.share * Math.exp(change)));
    }
}
