import { performance, type EventLoopUtilization } from "node:perf_hooks";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { OverloadDetector, type LoopSample } from "../decisions/admission/overload.js";

/** Several samples within the time in which callers begin to leave, and few wake-ups for an idle process. */
const samplePeriodMs = 50;

/** Whether this router keeps up with its load. */
export interface LoadSource extends Disposable {
    /** Part of new requests that it is too slow for, 0 to 1. */
    readonly shedShare: number;
    /** Whether the balancer should leave it out. */
    readonly shouldLeaveBalancer: boolean;
    /** How the event loop keeps up, smoothed. */
    readonly loop: LoopSample;
    start(): void;
}

/** Measures how the event loop of this process keeps up. */
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

    public get loop(): LoopSample {
        return this.detector.loop;
    }

    public start(): void {
        const dueAtMs = this.clock.nowMs() + samplePeriodMs;
        this.timer = setTimeout(() => {
            if (this.detector.observe({ delayMs: this.clock.nowMs() - dueAtMs, utilization: this.takeUtilization() })) {
                const { delayMs, utilization } = this.detector.loop;
                const message = this.shouldLeaveBalancer ? "too slow for what reaches it" : "fast enough again";
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
