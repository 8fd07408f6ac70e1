import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import { computeBackoffMs } from "../decisions/retries/backoff.js";
import { checkOrder, type EngineOrder } from "../decisions/limits/orderPolicy.js";
import { WeightLoadBucket } from "../decisions/limits/weightLoadBucket.js";
import type { EventRecorder } from "../events/fleetEvent.js";
import type { Scheduler } from "../fleet/coreRunner.js";
import type { OrderTarget } from "./targetClient.js";

/** An order without its fencing number, as the document lists it. */
export type WantedOrder = Omit<EngineOrder, "fencing">;

/** What the document and the roster say about this agent's engine now. */
export interface OrderView {
    readonly orders: readonly WantedOrder[];
    readonly checksFencing: boolean;
    readonly loadsPerMinute: number;
    /** Agents that share the allowance of weight loads, and this one's place among them from 0 to below 1. */
    readonly sharers: number;
    readonly place: number;
    readonly ownOffset: number | undefined;
    readonly newestOffset: number | undefined;
}

/** What the service is built from. */
export interface OrderServiceParts {
    readonly target: OrderTarget;
    readonly recorder: EventRecorder;
    readonly clock: Clock;
    readonly scheduler: Scheduler;
    readonly random: Random;
    /** Undefined before the first document. */
    getView(): OrderView | undefined;
    /** Reads the roster to its end now; when the read began, or undefined if it is not certain that nothing is newer. */
    confirmRoster(token: CancellationToken): Promise<number | undefined>;
}

/** How often the process notes that it runs while orders are pending; far below the pause that counts. */
const heartbeatMs = 250;

/** Gives the engine the orders that the document lists: in their order, once each, and anew after the engine was gone. */
export class OrderService implements Disposable {
    private readonly cancellation = new CancellationTokenSource();
    private readonly done = new Set<string>();
    private bucket: WeightLoadBucket | undefined;
    private timer: Disposable | undefined;
    private lastRanAtMs: number;
    private checkedAtMs: number | undefined;
    private notBeforeMs = 0;
    private failures = 0;
    private busy = false;

    public constructor(private readonly parts: OrderServiceParts) {
        this.lastRanAtMs = parts.clock.nowMs();
    }

    /** Looks whether an order is pending; called when the document, the roster or the engine has changed. */
    public update(): void {
        if (this.timer === undefined && this.findPending() !== undefined) {
            this.lastRanAtMs = this.parts.clock.nowMs();
            this.runLater();
        }
    }

    /** The engine lost its state: all orders are given again. */
    public clear(): void {
        this.done.clear();
        this.update();
    }

    public dispose(): void {
        this.cancellation.cancel();
        this.timer?.dispose();
    }

    private runLater(): void {
        this.timer = this.parts.scheduler.run(() => void this.run(), heartbeatMs);
    }

    private async run(): Promise<void> {
        const nowMs = this.parts.clock.nowMs();
        const order = this.findPending();
        if (order === undefined || this.cancellation.token.isCancelled) {
            this.timer = undefined;
            return;
        }
        if (!this.busy && nowMs >= this.notBeforeMs) {
            this.busy = true;
            await this.sendIfAllowed(order, nowMs);
            this.busy = false;
        }
        this.lastRanAtMs = this.parts.clock.nowMs();
        this.runLater();
    }

    private async sendIfAllowed(order: WantedOrder, nowMs: number): Promise<void> {
        const view = this.parts.getView();
        if (view === undefined) {
            return;
        }
        const decision = checkOrder(
            {
                ...view,
                checkedAtMs: this.checkedAtMs,
                lastRanAtMs: this.lastRanAtMs,
                targetChecksFencing: view.checksFencing,
            },
            nowMs,
        );
        if (decision.decision === "check") {
            this.checkedAtMs = await this.parts.confirmRoster(this.cancellation.token);
            return;
        }
        if (decision.decision !== "send" || !this.takeLoad(order, view, nowMs)) {
            return;
        }
        const { fencing } = decision;
        this.parts.recorder.record({ kind: "order-sent", reason: formatOrder(order), value: fencing });
        const sent = await this.parts.target.sendOrder({ ...order, fencing }, this.cancellation.token);
        sent.match(
            answer => this.handleAnswer(order, answer, fencing),
            () => this.waitAfterFailure(),
        );
    }

    private handleAnswer(order: WantedOrder, answer: "done" | "stale", fencing: number): void {
        this.failures = 0;
        this.done.add(formatOrder(order));
        if (answer === "stale") {
            // The engine has seen a newer agent's number: that agent gives the orders now.
            this.parts.recorder.record({ kind: "order-refused", reason: formatOrder(order), value: fencing });
        }
    }

    private waitAfterFailure(): void {
        this.failures++;
        this.notBeforeMs = this.parts.clock.nowMs() + computeBackoffMs(this.failures, this.parts.random);
    }

    private takeLoad(order: WantedOrder, view: OrderView, nowMs: number): boolean {
        if (order.kind === "set-role") {
            return true;
        }
        this.bucket ??= new WeightLoadBucket(view.place, this.parts.random);
        const decision = this.bucket.take(view.loadsPerMinute, view.sharers, nowMs);
        if (!decision.allowed) {
            this.notBeforeMs = nowMs + decision.retryAfterMs;
        }
        return decision.allowed;
    }

    private findPending(): WantedOrder | undefined {
        return this.parts.getView()?.orders.find(order => !this.done.has(formatOrder(order)));
    }
}

function formatOrder(order: WantedOrder): string {
    return `${order.kind} ${order.name}`;
}
