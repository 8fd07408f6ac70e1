import type { RouteConfiguration } from "./configuration.js";

/** Whether a response met the objectives of its route, and which one it missed. */
export type Timeliness = "in-time" | "late-first-output" | "late-pause";

/** Times of one response and the objectives of its route. */
export interface TimingDetails {
    readonly objectiveMs: number;
    readonly pauseObjectiveMs: number;
    /** Time from the request's arrival to the first output; milliseconds, undefined before the first output. */
    readonly firstOutputMs: number | undefined;
    /** Longest time between two consecutive outputs; milliseconds. */
    readonly longestPauseMs: number;
    /** Undefined if there was no output. */
    readonly timeliness: Timeliness | undefined;
}

/** Measures one response as its caller receives it: the time to the first output, and the longest pause between two outputs. */
export class ResponseTiming {
    private firstAtMs: number | undefined;
    private lastAtMs = 0;
    private longestMs = 0;

    public constructor(
        private readonly route: Pick<RouteConfiguration, "kind" | "objectiveMs" | "pauseObjectiveMs">,
        private readonly arrivedAtMs: number,
    ) {}

    /** Records that output is sent to the caller; returns the pause before it in milliseconds, 0 for the first output. */
    public recordOutput(nowMs: number): number {
        const pauseMs = this.firstAtMs === undefined ? 0 : nowMs - this.lastAtMs;
        this.firstAtMs ??= nowMs;
        this.lastAtMs = nowMs;
        this.longestMs = Math.max(this.longestMs, pauseMs);
        return pauseMs;
    }

    /** Time from the request's arrival to the first output; milliseconds, undefined before the first output. */
    public get firstOutputMs(): number | undefined {
        return this.firstAtMs === undefined ? undefined : this.firstAtMs - this.arrivedAtMs;
    }

    /** Longest time between two consecutive outputs of a stream; milliseconds. */
    public get longestPauseMs(): number {
        return this.longestMs;
    }

    /** Undefined before the first output. */
    public get timeliness(): Timeliness | undefined {
        const { objectiveMs, pauseObjectiveMs, kind } = this.route;
        const { firstOutputMs } = this;
        if (firstOutputMs === undefined) {
            return undefined;
        }
        if (firstOutputMs > objectiveMs) {
            return "late-first-output";
        }
        return kind === "stream" && this.longestMs > pauseObjectiveMs ? "late-pause" : "in-time";
    }

    /** All measurements, for the log. */
    public get details(): TimingDetails {
        const { objectiveMs, pauseObjectiveMs } = this.route;
        const { firstOutputMs, longestPauseMs, timeliness } = this;
        return { objectiveMs, pauseObjectiveMs, firstOutputMs, longestPauseMs, timeliness };
    }
}
