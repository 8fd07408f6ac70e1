import { RunningQuantile } from "../../decisions/structures/runningQuantile.js";

/** Durations of one complete response. */
export interface ResponseTimes {
    /** From sending the request to the first output; milliseconds. */
    readonly firstOutputMs: number;
    /** Expected value of `firstOutputMs`; milliseconds. */
    readonly expectedMs: number;
    /** Time from the first output to the end, per output after the first; milliseconds. Undefined with a single output. */
    readonly msPerOutput: number | undefined;
}

/** Quantile of the durations that serves as reference; most responses of a version several times slower exceed it. */
const referenceQuantile = 0.9;
/** Durations above the reference times this factor count as slow. */
const slowFactor = 1.6;
/** Responses needed before there is a reference. */
const minSamples = 10;
/** Shorter durations are raised to this value, since they differ by chance alone; milliseconds. */
const minDurationMs = 20;

/** Detects responses on one route that take several times as long as usual. */
export class SlowResponseDetector {
    private readonly firstOutputRatio = new RunningQuantile(referenceQuantile);
    private readonly msPerOutput = new RunningQuantile(referenceQuantile);
    private sampleCount = 0;

    /** Adds a response to the reference; it must come from a version that is not being rolled out. */
    public observe(times: ResponseTimes): void {
        this.sampleCount += 1;
        this.firstOutputRatio.observe(computeFirstOutputRatio(times));
        if (times.msPerOutput !== undefined) {
            this.msPerOutput.observe(Math.max(minDurationMs, times.msPerOutput));
        }
    }

    /** Whether the response took several times as long as the reference; false while there is no reference. */
    public isSlow(times: ResponseTimes): boolean {
        if (this.sampleCount < minSamples) {
            return false;
        }
        return (
            isAboveReference(computeFirstOutputRatio(times), this.firstOutputRatio.value) ||
            isAboveReference(times.msPerOutput, this.msPerOutput.value)
        );
    }
}

function computeFirstOutputRatio({ firstOutputMs, expectedMs }: ResponseTimes): number {
    return Math.max(minDurationMs, firstOutputMs) / Math.max(minDurationMs, expectedMs);
}

function isAboveReference(value: number | undefined, reference: number | undefined): boolean {
    return value !== undefined && reference !== undefined && value > reference * slowFactor;
}
