import { RunningQuantile } from "../../decisions/structures/runningQuantile.js";

/** How long one whole answer took. */
export interface ResponseTimes {
    /** From the send to the first output; milliseconds. */
    readonly firstOutputMs: number;
    /** The same as it was expected; milliseconds. */
    readonly expectedMs: number;
    /** From the first output to the end, for each output behind the first; milliseconds, undefined with one output. */
    readonly msPerOutput: number | undefined;
}

/** Quantile of what is usual; a version several times slower is beyond it with most of its answers. */
const usualQuantile = 0.9;
const slowFactor = 1.6;
/** Before so many answers there is no usual time. */
const leastSamples = 10;
/** Shorter times than this differ by chance alone; milliseconds. */
const leastMs = 20;

/** How long answers on one route usually take, and which ones take several times as long. */
export class SlowResponseDetector {
    private readonly firstRatio = new RunningQuantile(usualQuantile);
    private readonly msPerOutput = new RunningQuantile(usualQuantile);
    private samples = 0;

    /** Takes an answer of a version that is known to be sound. */
    public observe(times: ResponseTimes): void {
        this.samples += 1;
        this.firstRatio.observe(computeRatio(times));
        if (times.msPerOutput !== undefined) {
            this.msPerOutput.observe(Math.max(leastMs, times.msPerOutput));
        }
    }

    /** Whether the answer took several times as long as is usual. */
    public isSlow(times: ResponseTimes): boolean {
        if (this.samples < leastSamples) {
            return false;
        }
        return (
            isBeyond(computeRatio(times), this.firstRatio.value) || isBeyond(times.msPerOutput, this.msPerOutput.value)
        );
    }
}

function computeRatio({ firstOutputMs, expectedMs }: ResponseTimes): number {
    return Math.max(leastMs, firstOutputMs) / Math.max(leastMs, expectedMs);
}

function isBeyond(value: number | undefined, usual: number | undefined): boolean {
    return value !== undefined && usual !== undefined && value > usual * slowFactor;
}
