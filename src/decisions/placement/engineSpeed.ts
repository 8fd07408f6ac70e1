/**
 * Speed of single engines relative to their service's {@link FirstTokenModel}, from observed responses and the engines' own reports.
 *
 * Load pattern: engines of one service differ in speed (by a factor of two and more) and slow down several times for fractions of a second.
 * With one rate for all, a slow engine gets as many prompts as a fast one, and its queue makes them late. Engines report how long work takes
 * at this moment, but reports may be absent, stale or false, so that they count only as far as they predict what was observed.
 *
 * All state is on the logarithm, as speeds are ratios. An engine's long-term factor is a decaying mean of observed over predicted times, and
 * is taken relative to the mean of the service's engines: the model then describes the mean engine, and model and factors can't drift against
 * each other. The current report is taken relative to the long-term mean of the engine's reports, so that it makes no difference whether
 * an engine reports 100 for its own usual speed or for that of a usual engine.
 *
 * Bounds: engines of one service are of similar kinds, so that an observed factor beyond a ratio of four is an error of measurement.
 */
import { slowdownBounds } from "../../base/slowdown.js";

/** Bounds of the long-term factor. */
const observedBounds = { min: 0.25, max: 4 } as const;
/** Bounds of a single observation, which may be wrong by the queue that was assumed. */
const observationBounds = { min: 0.1, max: 10 } as const;
/** Time in which half of a report's difference from the engine's long-term mean is gone: slowdowns last some hundred milliseconds. */
export const reportHalfLifeMs = 150;
/** Time constant of the mean of reports: several times the interval between two slowdowns, which are seconds apart. */
const reportMeanMs = 10_000;
/** Weight of the usual slowdown, 1, in the mean before there are reports; milliseconds. */
const usualReportMs = 1_000;
/** An interval without reports counts at most so long for the mean; milliseconds. */
const maxReportGapMs = 1_000;
/** Weight of a single observation after many of them: about the last twenty count. */
const settledObservationWeight = 0.05;
/** Weight of the factor 1 before the first observation, as a number of observations: one is wrong by its queue in about a third. */
const priorObservations = 2;
/** Decay per observation of the errors that weigh reports. A seventh of the last hundred observations fall into slowdowns. */
const errorDecay = 0.99;
/** Squared reported change that counts as predicted rightly in addition to those observed: two observations during a slowdown of 2.5. */
const priorReportSquare = 1.7;
/** Weight of the owner's first factor in the mean of its factors; milliseconds. */
const firstOwnerMs = 200;
/** Weight of the owner's factors beside this router's own observations, as a number of observations. */
const ownerObservations = 4;

/** An estimate of an engine's speed, to be compared with what is observed later. */
export interface SpeedEstimate {
    /** Time per prompt token relative to the service's model; 1 without information. */
    readonly factor: number;
    /** The part of {@link factor} that is due to the current report: current time per unit of work over its long-term mean. */
    readonly reportRatio: number;
    /** Logarithm of the report over its long-term mean, decayed to the time of the estimate and not weighted. */
    readonly reportShift: number;
}

/** An observed time to the first event, and what the service's model predicts for an engine of factor 1; milliseconds. */
export interface FirstOutputSample {
    readonly tookMs: number;
    /** Part that does not depend on the prompt. */
    readonly fixedMs: number;
    /** Part that depends on the tokens to prefill. */
    readonly prefillMs: number;
}

const usualEstimate: SpeedEstimate = { factor: 1, reportRatio: 1, reportShift: 0 };

interface LoggedFactor {
    readonly log: number;
    readonly atMs: number;
}

/** The engines of one service. Without any report of one of them all have the factor 1. */
export class ServiceSpeeds {
    private readonly engines = new Set<EngineSpeed>();
    private hasReported = false;
    private meanLog = 0;

    /** Whether an engine of the service has ever reported its slowdown. */
    public get hasReports(): boolean {
        return this.hasReported;
    }

    /** Mean logarithm of the observed engines' factors. */
    public get meanLogFactor(): number {
        return this.meanLog;
    }

    public createEngine(): EngineSpeed {
        const engine = new EngineSpeed(this);
        this.engines.add(engine);
        return engine;
    }

    /** Removes an engine that has left or restarted. */
    public removeEngine(engine: EngineSpeed): void {
        this.engines.delete(engine);
        this.updateMean();
    }

    public recordReport(): void {
        this.hasReported = true;
    }

    public updateMean(): void {
        const observed = [...this.engines].filter(engine => engine.isObserved);
        this.meanLog = observed.reduce((sum, engine) => sum + engine.logFactor, 0) / Math.max(1, observed.length);
    }
}

/** The speed of one incarnation of an engine. */
export class EngineSpeed {
    private observations = 0;
    private log = 0;
    private report: (LoggedFactor & { readonly slowdown: number }) | undefined;
    private reportMeanSum = 0;
    private reportMeanWeight = usualReportMs;
    private ownerFactor: LoggedFactor | undefined;
    private ownerMean = 0;
    /** Time that {@link ownerMean} covers; milliseconds. */
    private ownerMs = firstOwnerMs;
    private observedAtMs = Number.NEGATIVE_INFINITY;
    private errorWithReport = 0;
    private errorWithoutReport = 0;
    private reportSquare = 0;

    /** Use {@link ServiceSpeeds.createEngine}. */
    public constructor(private readonly service: ServiceSpeeds) {}

    public get isObserved(): boolean {
        return this.observations > 0;
    }

    /** Logarithm of the long-term factor, not yet relative to the service's mean. */
    public get logFactor(): number {
        return this.log;
    }

    /** Whether anything is known of this engine in particular. */
    public get isKnown(): boolean {
        return this.isObserved || this.report !== undefined || this.ownerFactor !== undefined;
    }

    /** The last reported slowdown; undefined without a report. */
    public get slowdown(): number | undefined {
        return this.report?.slowdown;
    }

    /** The last reported slowdown while it still says something of the present: it is younger than its half-life. */
    public findRecentSlowdown(nowMs: number): number | undefined {
        return this.report === undefined || nowMs - this.report.atMs > reportHalfLifeMs ? undefined : this.slowdown;
    }

    /** Records the engine's report of how long work takes at this moment; 1 is usual. */
    public observeReport(slowdown: number, nowMs: number): void {
        const bounded = toBounded(slowdown, slowdownBounds);
        const log = Math.log(bounded);
        const gapMs = this.report === undefined ? 0 : Math.min(maxReportGapMs, nowMs - this.report.atMs);
        const decay = Math.exp(-gapMs / reportMeanMs);
        this.reportMeanSum = this.reportMeanSum * decay + log * reportMeanMs * (1 - decay);
        this.reportMeanWeight = this.reportMeanWeight * decay + reportMeanMs * (1 - decay);
        this.report = { slowdown: bounded, log, atMs: nowMs };
        this.service.recordReport();
    }

    /** Records the factor that the engine's owner replied with. */
    public observeOwner(factor: number, nowMs: number): void {
        const log = Math.log(toBounded(factor, slowdownBounds));
        const gapMs = this.ownerFactor === undefined ? 0 : Math.min(maxReportGapMs, nowMs - this.ownerFactor.atMs);
        this.ownerMs = Math.min(reportMeanMs, this.ownerMs + gapMs);
        this.ownerMean += this.ownerFactor === undefined ? log : (log - this.ownerMean) * (gapMs / this.ownerMs);
        this.ownerFactor = { log, atMs: nowMs };
        this.service.recordReport();
    }

    /** Records the time to a first event. `estimate`: the estimate when the request was sent. */
    public observeFirstOutput(sample: FirstOutputSample, estimate: SpeedEstimate, nowMs: number): void {
        if (!this.service.hasReports || sample.prefillMs <= 0) {
            return;
        }
        const ratio = (sample.tookMs - sample.fixedMs) / sample.prefillMs;
        const observed = Math.log(toBounded(ratio, observationBounds));
        // A short prompt's time consists mostly of the fixed part and shows little of the engine's speed.
        const weight = sample.prefillMs / (sample.prefillMs + sample.fixedMs);
        this.observeErrors(observed - this.longTermLog, estimate.reportShift, weight);
        if (!this.isObserved) {
            this.log = this.service.meanLogFactor;
        }
        const residual = observed - Math.log(estimate.reportRatio) - (this.log - this.service.meanLogFactor);
        this.observations += 1;
        const step = Math.max(settledObservationWeight, 1 / (this.observations + priorObservations));
        this.log += step * weight * residual;
        this.observedAtMs = nowMs;
        this.service.updateMean();
    }

    /** Records the duration of a plain request; `usualMs`: its usual duration at this target. */
    public observeServiceTime(tookMs: number, usualMs: number, estimate: SpeedEstimate): void {
        if (this.service.hasReports && usualMs > 0) {
            this.observeErrors(Math.log(toBounded(tookMs / usualMs, observationBounds)), estimate.reportShift, 1);
        }
    }

    /** The estimate for work that starts now. */
    public estimate(nowMs: number): SpeedEstimate {
        if (!this.service.hasReports) {
            return usualEstimate;
        }
        const { longTermLog, ownerFactor } = this;
        const reportShift = this.computeShift(nowMs);
        const reportLog = this.reportWeight * reportShift;
        const ownAtMs = Math.max(this.observedAtMs, this.report?.atMs ?? Number.NEGATIVE_INFINITY);
        const log =
            ownerFactor !== undefined && ownerFactor.atMs > ownAtMs
                ? longTermLog + (ownerFactor.log - longTermLog) * computeDecay(nowMs - ownerFactor.atMs)
                : longTermLog + reportLog;
        return {
            factor: toBounded(Math.exp(log), slowdownBounds),
            reportRatio: toBounded(Math.exp(reportLog), slowdownBounds),
            reportShift,
        };
    }

    /**
     * Weight of the engine's reports: the coefficient that would have made the predictions best (least squares), 0 if reports made them
     * worse than none.
     */
    public get reportWeight(): number {
        const { errorWithReport, errorWithoutReport, reportSquare } = this;
        if (errorWithReport > errorWithoutReport + priorReportSquare) {
            return 0;
        }
        const product = (errorWithoutReport - errorWithReport + reportSquare) / 2;
        return Math.min(1, Math.max(0, (product + priorReportSquare) / (reportSquare + priorReportSquare)));
    }

    /** Logarithm of the factor without the current report, relative to the service's mean. */
    private get longTermLog(): number {
        const own = this.isObserved ? this.log - this.service.meanLogFactor : 0;
        const ownWeight = Math.min(this.observations, 1 / settledObservationWeight);
        const ownerWeight = this.ownerFactor === undefined ? 0 : ownerObservations;
        const log = (own * ownWeight + this.ownerMean * ownerWeight) / Math.max(1, ownWeight + ownerWeight);
        return Math.log(toBounded(Math.exp(log), observedBounds));
    }

    private computeShift(nowMs: number): number {
        const { report } = this;
        const shift =
            report === undefined
                ? 0
                : (report.log - this.reportMeanSum / this.reportMeanWeight) * computeDecay(nowMs - report.atMs);
        return Math.log(toBounded(Math.exp(shift), slowdownBounds));
    }

    private observeErrors(change: number, reportShift: number, weight: number): void {
        this.errorWithReport = this.errorWithReport * errorDecay + weight * (change - reportShift) ** 2;
        this.errorWithoutReport = this.errorWithoutReport * errorDecay + weight * change ** 2;
        this.reportSquare = this.reportSquare * errorDecay + weight * reportShift ** 2;
    }
}

/** The time that the response would have taken at an engine of factor 1, by which the service's model is fitted; milliseconds. */
export function computeUsualMs({ tookMs, fixedMs }: FirstOutputSample, { factor }: SpeedEstimate): number {
    const fixedPartMs = Math.min(tookMs, fixedMs);
    // Exact, so that services without reports are not changed by rounding.
    return factor === 1 ? tookMs : fixedPartMs + (tookMs - fixedPartMs) / factor;
}

function computeDecay(ageMs: number): number {
    return 2 ** (-Math.max(0, ageMs) / reportHalfLifeMs);
}

function toBounded(value: number, { min, max }: { readonly min: number; readonly max: number }): number {
    return Math.min(max, Math.max(min, value));
}
