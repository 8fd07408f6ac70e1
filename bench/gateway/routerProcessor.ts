import { OverloadDetector } from "../../src/decisions/admission/overload.js";
import type { EventQueue } from "./eventQueue.js";

/** What a router's work costs, and how much of it a second the router can do. */
export interface ProcessorOptions {
    /** Part of a core that the router may use, above 0. */
    readonly share: number;
    /** Processor time of each piece of work at a whole core; milliseconds. */
    readonly readMs: number;
    readonly serveMs: number;
    readonly messageMs: number;
}

const samplePeriodMs = 50;

/** The processor of one modelled router: work is done one piece after the other, in order of arrival. */
export class RouterProcessor {
    /** Follows the load as the daemon does. The event loop's turns stay short while connections wait unaccepted. */
    public readonly detector = new OverloadDetector();
    private freeAtMs = 0;
    private addedMs = 0;
    private backlogMs = 0;
    private unread = 0;

    public constructor(
        private readonly options: ProcessorOptions,
        private readonly events: EventQueue,
        startMs: number,
    ) {
        this.addSample(startMs);
    }

    /** Part of a core that the router may use. */
    public get share(): number {
        return this.options.share;
    }

    /** Connections whose request has not been read yet. */
    public get unreadConnections(): number {
        return this.unread;
    }

    /** Reads the request of a connection, then does the action. */
    public submitRead(nowMs: number, action: () => void): void {
        this.unread += 1;
        this.submit("read", nowMs, () => {
            this.unread -= 1;
            action();
        });
    }

    /** Does the action once its work is done. */
    public submit(kind: "read" | "serve" | "message", nowMs: number, action: () => void): void {
        this.events.add(this.charge(kind, nowMs), action);
    }

    /** Does work that nothing waits for; returns when it is done. */
    public charge(kind: "read" | "serve" | "message", nowMs: number): number {
        const { share, readMs, serveMs, messageMs } = this.options;
        const tookMs = { read: readMs, serve: serveMs, message: messageMs }[kind] / share;
        this.freeAtMs = Math.max(nowMs, this.freeAtMs) + tookMs;
        this.addedMs += tookMs;
        return this.freeAtMs;
    }

    private addSample(nowMs: number): void {
        this.events.add(nowMs + samplePeriodMs, () => {
            const sampleAtMs = nowMs + samplePeriodMs;
            const utilization = Math.min(1, (this.backlogMs + this.addedMs) / samplePeriodMs);
            this.backlogMs = Math.max(0, this.freeAtMs - sampleAtMs);
            this.addedMs = 0;
            this.detector.observe({ delayMs: 0, utilization });
            this.addSample(sampleAtMs);
        });
    }
}
