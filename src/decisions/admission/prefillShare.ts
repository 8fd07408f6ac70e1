/**
 * Prefill share: the prefill tokens that an engine may be granted within the pause objective, as a fraction of the tokens that it could
 * prefill in that time at its measured speed. It is estimated from the pauses of streams.
 *
 * Load pattern: a sustained overload, with a prompt waiting whenever an engine's prefill queue is empty. How much prefill streams tolerate
 * depends on the number of tokens per event and the duration of a step with a prefill chunk, which no engine reports. Too high a
 * share makes running streams late, too low a share leaves engines idle while callers are refused.
 *
 * Stochastic approximation of a quantile (Robbins and Monro, 1951), on the logarithm: a late stream lowers the share by a step, a stream
 * in time raises it by a small fraction of the step, so that the share converges to the value at which the configured fraction of
 * streams is late. A stream in time counts only if the share was in use when the stream began: at idle engines it doesn't indicate how
 * much prefill streams tolerate.
 */

/** Initial value before any stream was observed: engines generate tokens in the rest of the time. */
const initialShare = 0.8;
/** Bounds that keep a fault that stalls all streams, or a wrong speed, from moving the share too far to recover. */
const minShare = 0.3;
const maxShare = 1.5;
/** Target fraction of streams that are late because of a pause. */
const targetLateFraction = 0.06;
/** Step of a late stream after many observations. */
const settledStep = 0.012;
/** Step of a late stream at first. */
const firstStep = 0.06;
/** Number of streams after which the step has its final size. */
const settlingStreams = 100;
/** Streams in time in a row from which the share may rise at twice the rate; at the target fraction three of them would be late. */
const fastRiseStreams = 50;
const fastRiseFactor = 2;
/** A stream in time counts if at least this fraction of the share was in use at its start. */
const minUsageFraction = 0.5;

/** Options of a {@link PrefillShare}. */
export interface PrefillShareOptions {
    /**
     * Whether streams in time count double while none of the last 50 was late. Each router observes only its own streams, and an overload of
     * some minutes ends before the share has reached what streams tolerate. False when left out.
     */
    readonly risesFasterInTime?: boolean;
}

/** Estimates the prefill share of one service's engines. */
export class PrefillShare {
    private share = initialShare;
    private streams = 0;
    /** Streams in time since the last late one. */
    private inTimeStreams = 0;

    public constructor(private readonly options: PrefillShareOptions = {}) {}

    public get current(): number {
        return this.share;
    }

    /** Records a stream. `usage`: fraction of the engine's prefill capacity that was granted when the stream began. */
    public observe(isLate: boolean, usage: number): void {
        if (!isLate && usage < this.share * minUsageFraction) {
            return;
        }
        this.streams += 1;
        const progress = Math.min(1, this.streams / settlingStreams);
        const step = firstStep + (settledStep - firstStep) * progress;
        this.inTimeStreams = isLate ? 0 : this.inTimeStreams + 1;
        const rise = (step * targetLateFraction) / (1 - targetLateFraction);
        const change = isLate ? -step : rise * this.riseFactor;
        this.share = Math.min(maxShare, Math.max(minShare, this.share * Math.exp(change)));
    }

    private get riseFactor(): number {
        return this.options.risesFasterInTime === true && this.inTimeStreams > fastRiseStreams ? fastRiseFactor : 1;
    }
}
