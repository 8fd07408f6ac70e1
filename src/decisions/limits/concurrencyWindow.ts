import { FirstOutputBaseline } from "../health/firstOutputBaseline.js";

/**
 * A "not cold" report is ignored for this long after the last sign of a cold start, because reports lag; milliseconds.
 */
export const reportLagMs = 2_000;
/** Consecutive "not cold" reports that end a cold start. */
export const warmReportsNeeded = 2;
/** Completed requests per slot of the cold limit that end a cold start if the target sends no reports. */
export const warmSuccessesPerSlot = 2;

const reportsStaleAfterMs = 10_000;
const slowDecrease = 0.8;
const slowDecreaseEveryMs = 1_000;
/** Consecutive slow first outputs before the window shrinks; one or two occur on any target. */
const consecutiveSlowOutputs = 3;

/** Delay and context of a request's first token or response head. */
export interface FirstOutput {
    readonly workClass: "short" | "long";
    readonly promptTokens: number;
    readonly delayMs: number;
    /** Number of running requests, including this one. */
    readonly running: number;
}

/** Concurrency limits of a target, from the environment's document. */
export interface WindowLimits {
    readonly maxConcurrent: number;
    readonly coldLimit: number;
}

/** Change of the window, for the timeline. */
export type WindowChange = "cold" | "warm" | "grown" | "slowed" | "limits";

/**
 * Limits how many requests one target may run at once.
 *
 * Load patterns: a cold start, a target that turns cold without notice, and a slow target. A cold engine under full
 * load crashes, loses the requests it runs, and starts cold again, so the fleet would keep it down permanently. The
 * window starts at the cold limit and leaves it only on evidence that is newer than the last sign of a cold start: two
 * reports at least {@link reportLagMs} after it (engines publish about once per second, so older reports may describe
 * the time before) or, for targets that publish none, two completed requests for each cold slot. It then grows by one
 * for each first output, which doubles it in each round as in TCP slow start, and only while at least half of it is in
 * use.
 *
 * Signs of a cold start are a report, a refusal by the target, a lost connection, and a first output that is far later
 * than the baseline of the same class (see {@link FirstOutputBaseline}). Three consecutive first outputs that are
 * merely slow reduce the window by a fifth, at most once per second: a target that has become slow gains nothing from a
 * longer internal queue, and requests queued at the agent can still be moved elsewhere.
 */
export class ConcurrencyWindow {
    private readonly baselines = { short: new FirstOutputBaseline(), long: new FirstOutputBaseline() };
    private currentLimit = 0;
    private cold = true;
    private limits: WindowLimits = { maxConcurrent: 0, coldLimit: 0 };
    private coldSinceMs: number | undefined;
    private warmReports = 0;
    private successesSinceCold = 0;
    private lastReportAtMs: number | undefined;
    /** Whether a late first output is the only evidence for the current cold start. */
    private isSuspicionOnly = false;
    private consecutiveSlowCount = 0;
    private lastDecreaseAtMs = Number.NEGATIVE_INFINITY;

    /** Maximum number of requests that may run at once now. */
    public get limit(): number {
        return this.currentLimit;
    }

    public get isCold(): boolean {
        return this.cold;
    }

    /** Applies limits from the document. Returns true if the current limit changed. */
    public setLimits(limits: WindowLimits, nowMs: number): boolean {
        this.coldSinceMs ??= nowMs;
        this.limits = limits;
        const before = this.currentLimit;
        const minLimit = Math.min(limits.coldLimit, limits.maxConcurrent);
        this.currentLimit = this.cold ? minLimit : Math.min(Math.max(before, minLimit), limits.maxConcurrent);
        return this.currentLimit !== before;
    }

    /** Applies the target's own report. */
    public observeReport(cold: boolean, nowMs: number): WindowChange | undefined {
        this.lastReportAtMs = nowMs;
        if (cold) {
            return this.observeColdSign(nowMs);
        }
        if (!this.cold || this.coldSinceMs === undefined || nowMs - this.coldSinceMs < reportLagMs) {
            return undefined;
        }
        this.warmReports += 1;
        return this.warmReports < warmReportsNeeded ? undefined : this.setWarm();
    }

    /** A first output is overdue: falls back to the cold limit on suspicion. */
    public observeLateOutput(nowMs: number): WindowChange | undefined {
        const isSuspicionOnly = !this.cold || this.isSuspicionOnly;
        const change = this.observeColdSign(nowMs);
        this.isSuspicionOnly = isSuspicionOnly;
        return change;
    }

    /** The target shows a sign of a cold start: falls back to the cold limit at once. */
    public observeColdSign(nowMs: number): WindowChange | undefined {
        this.isSuspicionOnly = false;
        const changed = !this.cold || this.currentLimit > this.limits.coldLimit;
        this.cold = true;
        this.coldSinceMs = nowMs;
        this.warmReports = 0;
        this.successesSinceCold = 0;
        this.currentLimit = Math.min(this.limits.coldLimit, this.limits.maxConcurrent);
        return changed ? "cold" : undefined;
    }

    public observeFirstOutput(output: FirstOutput, nowMs: number): WindowChange | undefined {
        // Delays of a cold target must not influence the baseline.
        if (this.cold) {
            return undefined;
        }
        const { delayMs, promptTokens, running } = output;
        const baseline = this.baselines[output.workClass];
        const judgement = baseline.compare(delayMs, promptTokens);
        baseline.observe(delayMs, promptTokens);
        this.consecutiveSlowCount = judgement === "slow" ? this.consecutiveSlowCount + 1 : 0;
        if (judgement === "cold") {
            return this.observeLateOutput(nowMs);
        }
        if (judgement === "slow") {
            return this.consecutiveSlowCount < consecutiveSlowOutputs ? undefined : this.applyDecrease(nowMs);
        }
        if (running * 2 < this.currentLimit || this.currentLimit >= this.limits.maxConcurrent) {
            return undefined;
        }
        this.currentLimit += 1;
        return "grown";
    }

    /** Records a request that completed. */
    public observeSuccess(nowMs: number): WindowChange | undefined {
        if (!this.cold) {
            return undefined;
        }
        this.successesSinceCold += 1;
        const hasReports = this.lastReportAtMs !== undefined && nowMs - this.lastReportAtMs < reportsStaleAfterMs;
        if (hasReports || this.successesSinceCold < warmSuccessesPerSlot * this.limits.coldLimit) {
            return undefined;
        }
        return this.setWarm();
    }

    /**
     * Delay in milliseconds from which a request without output counts as a sign of a cold start; undefined without a
     * baseline.
     */
    public getLateAfterMs(workClass: "short" | "long", promptTokens: number): number | undefined {
        return this.baselines[workClass].getColdAfterMs(promptTokens);
    }

    /**
     * Ends the cold start. If lateness was the only evidence, the target was probably just busy: without the
     * correction, a target whose first outputs are late at full load would fall back to its cold limit every few
     * seconds.
     */
    private setWarm(): WindowChange {
        if (this.isSuspicionOnly) {
            this.baselines.short.recordFalseAlarm();
            this.baselines.long.recordFalseAlarm();
        }
        this.isSuspicionOnly = false;
        this.cold = false;
        return "warm";
    }

    private applyDecrease(nowMs: number): WindowChange | undefined {
        if (nowMs - this.lastDecreaseAtMs < slowDecreaseEveryMs) {
            return undefined;
        }
        this.lastDecreaseAtMs = nowMs;
        const before = this.currentLimit;
        this.currentLimit = Math.max(this.limits.coldLimit, Math.floor(before * slowDecrease));
        return this.currentLimit < before ? "slowed" : undefined;
    }
}
