import { performance, type EventLoopUtilization } from "node:perf_hooks";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { OverloadDetector, type LoopLoad } from "../decisions/admission/overload.js";

/** Short enough for several samples before callers start to give up, long enough for few wake-ups of an idle process; milliseconds. */
const samplePeriodMs = 50;

/** Reports whether this router is overloaded. */
export interface LoadSource extends Disposable {
    /** Fraction of new requests to refuse because the router is overloaded, 0 to 1. */
    readonly shedShare: number;
    /** Whether the balancer should send no new connections to this router. */
    readonly shouldLeaveBalancer: boolean;
    /** Delay and utilization of the event loop, smoothed. */
    readonly loop: LoopLoad;
    /** Starts sampling. */
    start(): void;
}

/** Samples delay and utilization of this process's event loop. */
export class LoadMonitor implements LoadSource {
    private readonly detector = new OverloadDetector();
    private lastUtilization: EventLoopUtilization = performance.eventLoopUtilization();
    private timer: NodeJS.Timeout | undefined;

    public constructor(
        private readonly clock: Clock,
        private readonly logger: Logger,
    ) {}

    public get shedShare(): number {
        return this.detector.shedShare;
    }

    public get shouldLeaveBalancer(): boolean {
        return this.detector.shouldLeaveBalancer;
    }

    public get loop(): LoopLoad {
        return this.detector.loop;
    }

    public start(): void {
        const dueAtMs = this.clock.nowMs() + samplePeriodMs;
        this.timer = setTimeout(() => {
            if (this.detector.observe({ delayMs: this.clock.nowMs() - dueAtMs, utilization: this.takeUtilization() })) {
                const { delayMs, utilization } = this.detector.loop;
                const message = this.shouldLeaveBalancer
                    ? "event loop overloaded, leaving the balancer"
                    : "event loop recovered from overload";
                const fields = { delayMs: Math.round(delayMs), utilization: Number(utilization.toFixed(2)) };
                this.logger.write("warn", message, fields);
            }
            this.start();
        }, samplePeriodMs);
    }

    public dispose(): void {
        clearTimeout(this.timer);
    }

    private takeUtilization(): number {
        const current = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(current, this.lastUtilization);
        this.lastUtilization = current;
        return utilization;
    }
}
