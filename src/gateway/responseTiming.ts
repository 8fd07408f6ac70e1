import type { RouteConfiguration } from "./configuration.js";

/** Whether an answer kept the objectives of its route, and by what it missed them. */
export type Timeliness = "in-time" | "late-first-output" | "late-pause";

/** How an answer kept its objectives. */
export interface TimingDetails {
    readonly objectiveMs: number;
    readonly pauseObjectiveMs: number;
    /** Time from its arrival to its first output; milliseconds. */
    readonly firstOutputMs: number | undefined;
    /** Between two outputs; milliseconds. */
    readonly longestPauseMs: number;
    /** Undefined without output. */
    readonly timeliness: Timeliness | undefined;
}

/** Follows one answer as its caller sees it: the first output, and the longest pause between two outputs. */
export class ResponseTiming {
    private firstAtMs: number | undefined;
    private lastAtMs = 0;
    private longestMs = 0;

    public constructor(
        private readonly route: Pick<RouteConfiguration, "kind" | "objectiveMs" | "pauseObjectiveMs">,
        private readonly arrivedAtMs: number,
    ) {}

    /** Output goes to the caller; returns the pause before it, 0 for the first. */
    public recordOutput(nowMs: number): number {
        const pauseMs = this.firstAtMs === undefined ? 0 : nowMs - this.lastAtMs;
        this.firstAtMs ??= nowMs;
        this.lastAtMs = nowMs;
        this.longestMs = Math.max(this.longestMs, pauseMs);
        return pauseMs;
    }

    /** From the request's arrival to its first output; undefined before it. */
    public get firstOutputMs(): number | undefined {
        return this.firstAtMs === undefined ? undefined : this.firstAtMs - this.arrivedAtMs;
    }

    /** Between two outputs of a stream. */
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

    /** What is known of it, for the log. */
    public get details(): TimingDetails {
        const { objectiveMs, pauseObjectiveMs } = this.route;
        const { firstOutputMs, longestPauseMs, timeliness } = this;
        return { objectiveMs, pauseObjectiveMs, firstOutputMs, longestPauseMs, timeliness };
    }
}
