/**
 * When a router itself is too slow for what reaches it, and what it does about it.
 *
 * Load patterns: a flood of small requests onto one router, a VM that runs at a fraction of its speed. Requests then wait
 * unread, in the process or in the queue of connections that it has not accepted; by the time one is read its caller may
 * have left, and it is sent to a target all the same. The event loop's delay shows the first kind of wait. It does not
 * show the second, as the loop accepts few connections a turn and its turns stay short; there the loop's utilization
 * shows it, the share of time in which it had something to do.
 *
 * Above the first threshold a growing share of new requests is refused at once, which costs a fraction of serving them. When
 * that goes on, the router asks the balancer to leave it out: others have processor time to spare while one VM is slow
 * or one data centre's router is flooded.
 *
 * The share that follows from utilization is integrated: any fixed share leaves a router that gets more than it can refuse with a
 * queue that never drains, where requests stay unread until their callers leave. It rises for as long as the loop has no
 * break, and falls once it has.
 *
 * Thresholds: a twentieth of usual objectives is no matter; at a quarter of a second of delay every request would be
 * refused, well before callers give up on a connection that does not answer (a second). A loop that is busy for more than
 * nine tenths of the time has queues behind it. The way back lies far below the way out, so that a router does not go in
 * and out of the balancer with each wave.
 */
const shedFromMs = 60;
const shedAllMs = 260;
const leaveAboveMs = 140;
const returnBelowMs = 25;
const shedFromUtilization = 0.93;
const leaveAboveUtilization = 0.9;
const returnBelowUtilization = 0.6;
/** Most that utilization alone has refused: a router that refuses all that it reads serves nobody, and is as busy. */
const mostShedByUtilization = 0.75;
/** Change of the share by one sample of a loop without a break, and of one that is idle. */
const shedRise = 0.02;
const shedFall = 0.3;
/** Weights of the newest sample, at one each 50 ms: one pause for garbage collection or one burst decides nothing. */
const delaySmoothing = 0.25;
const utilizationSmoothing = 0.08;

/** One look at the event loop. */
export interface LoopSample {
    /** By how much a timer came late; milliseconds. */
    readonly delayMs: number;
    /** Share of the time since the last look in which the loop had something to do, 0 to 1. */
    readonly utilization: number;
}

/** Follows how the event loop keeps up. */
export class OverloadDetector {
    private delayMs = 0;
    private utilization = 0;
    private shedByUtilization = 0;
    private leaves = false;

    /** The smoothed figures. */
    public get loop(): LoopSample {
        return { delayMs: this.delayMs, utilization: this.utilization };
    }

    /** Share of new requests to refuse, 0 to 1. */
    public get shedShare(): number {
        const byDelay = (this.delayMs - shedFromMs) / (shedAllMs - shedFromMs);
        return Math.min(1, Math.max(0, byDelay, this.shedByUtilization));
    }

    /** Whether the balancer should leave this router out. */
    public get shouldLeaveBalancer(): boolean {
        return this.leaves;
    }

    /** Takes a sample; true when {@link shouldLeaveBalancer} changed. */
    public observe(sample: LoopSample): boolean {
        this.delayMs += (Math.max(0, sample.delayMs) - this.delayMs) * delaySmoothing;
        this.utilization += (sample.utilization - this.utilization) * utilizationSmoothing;
        this.shedByUtilization = Math.min(
            mostShedByUtilization,
            Math.max(0, this.shedByUtilization + this.computeShedChange(sample.utilization)),
        );
        const before = this.leaves;
        const isOver = this.delayMs > leaveAboveMs || this.utilization > leaveAboveUtilization;
        const isWell = this.delayMs < returnBelowMs && this.utilization < returnBelowUtilization;
        this.leaves = isOver || (before && !isWell);
        return before !== this.leaves;
    }

    /** A process that has just started is busy without a break, and keeps up all the same: only what goes on counts. */
    private computeShedChange(utilization: number): number {
        if (utilization <= shedFromUtilization) {
            return ((utilization - shedFromUtilization) / shedFromUtilization) * shedFall;
        }
        return this.utilization <= shedFromUtilization
            ? 0
            : ((utilization - shedFromUtilization) / (1 - shedFromUtilization)) * shedRise;
    }
}
