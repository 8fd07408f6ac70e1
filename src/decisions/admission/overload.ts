/**
 * Detection of an overloaded router, and the fraction of requests that it refuses while it is overloaded.
 *
 * Load patterns: a burst of small requests to one router, a VM that runs at a fraction of its speed. Requests then wait
 * unread, in the process or in the accept queue; by the time one is read its caller may have disconnected, and it is sent to a target
 * nevertheless. The event loop's delay indicates the wait in the process, but not that in the accept queue, as the loop accepts
 * few connections per iteration and its iterations stay short. The wait in the accept queue shows in the loop's utilization,
 * the fraction of time in which the loop is not idle.
 *
 * Above the first threshold a growing fraction of new requests is refused immediately, which costs a fraction of serving them. If the
 * overload continues, the router requests its removal from the load balancer: other routers have spare processor time while one VM
 * is slow or one data centre's router is overloaded.
 *
 * The fraction that follows from utilization is integrated. With any fixed fraction, a router that receives more requests than it can
 * refuse would have a queue that never drains, in which requests stay unread until their callers disconnect. The fraction rises while the
 * loop has no idle time, and falls once it has.
 *
 * Thresholds: a delay of a twentieth of the usual latency objectives is negligible; at a quarter of a second of delay every request is
 * refused, well before callers time out on a connection without a response (one second). A loop that is busy for more than
 * nine tenths of the time has a queue of work. The thresholds for returning to the load balancer are far below those for leaving
 * it (hysteresis), so that a router does not switch with each burst.
 */
const shedThresholdMs = 60;
const shedAllMs = 260;
const leaveAboveMs = 140;
const returnBelowMs = 25;
const shedThresholdUtilization = 0.93;
const leaveAboveUtilization = 0.9;
const returnBelowUtilization = 0.6;
/** Maximum fraction refused because of utilization alone: a router that refuses every request it reads is as busy and serves none. */
const maxShedByUtilization = 0.75;
/** Increase of the refused fraction per sample in which the loop had no idle time. */
const shedIncrease = 0.02;
/** Decrease of the refused fraction per sample in which the loop was idle. */
const shedDecrease = 0.3;
/** Weights of the newest sample, at one sample every 50 ms: one pause for garbage collection or one burst has no effect. */
const delaySmoothing = 0.25;
const utilizationSmoothing = 0.08;
/** The same for the value by which requests are returned to other routers: a small router saturates within fractions of a second. */
const recentUtilizationSmoothing = 0.2;

/** A measurement of the event loop. */
export interface LoopSample {
    /** Delay of a timer beyond its due time; milliseconds. */
    readonly delayMs: number;
    /** Fraction of the time since the previous sample in which the loop was not idle, 0 to 1. */
    readonly utilization: number;
}

/** Smoothed samples of the event loop. */
export interface LoopLoad extends LoopSample {
    /** Like {@link LoopSample.utilization}, over about a quarter of a second. */
    readonly recentUtilization: number;
}

/** Detects overload from samples of the event loop. */
export class OverloadDetector {
    private delayMs = 0;
    private utilization = 0;
    private recentUtilization = 0;
    private shedByUtilization = 0;
    private isLeaving = false;

    /** The smoothed measurements. */
    public get loop(): LoopLoad {
        const { delayMs, utilization, recentUtilization } = this;
        return { delayMs, utilization, recentUtilization };
    }

    /** Fraction of new requests to refuse, 0 to 1. */
    public get shedShare(): number {
        const byDelay = (this.delayMs - shedThresholdMs) / (shedAllMs - shedThresholdMs);
        return Math.min(1, Math.max(0, byDelay, this.shedByUtilization));
    }

    /** Whether the load balancer should exclude this router. */
    public get shouldLeaveBalancer(): boolean {
        return this.isLeaving;
    }

    /** Records a sample; true if {@link shouldLeaveBalancer} has changed. */
    public observe(sample: LoopSample): boolean {
        this.delayMs += (Math.max(0, sample.delayMs) - this.delayMs) * delaySmoothing;
        this.utilization += (sample.utilization - this.utilization) * utilizationSmoothing;
        this.recentUtilization += (sample.utilization - this.recentUtilization) * recentUtilizationSmoothing;
        this.shedByUtilization = Math.min(
            maxShedByUtilization,
            Math.max(0, this.shedByUtilization + this.computeShedChange(sample.utilization)),
        );
        const wasLeaving = this.isLeaving;
        const isOverloaded = this.delayMs > leaveAboveMs || this.utilization > leaveAboveUtilization;
        const hasRecovered = this.delayMs < returnBelowMs && this.utilization < returnBelowUtilization;
        this.isLeaving = isOverloaded || (wasLeaving && !hasRecovered);
        return wasLeaving !== this.isLeaving;
    }

    /** Only sustained utilization counts: a process that has just started has no idle time, although it is not overloaded. */
    private computeShedChange(utilization: number): number {
        if (utilization <= shedThresholdUtilization) {
            return ((utilization - shedThresholdUtilization) / shedThresholdUtilization) * shedDecrease;
        }
        return this.utilization <= shedThresholdUtilization
            ? 0
            : ((utilization - shedThresholdUtilization) / (1 - shedThresholdUtilization)) * shedIncrease;
    }
}
