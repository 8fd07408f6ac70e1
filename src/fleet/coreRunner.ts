import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Core } from "./core.js";

/** Schedules callbacks; an interface, so that tests control when they run. */
export interface Scheduler {
    /** Calls `callback` once after `ms` milliseconds, unless disposed earlier. */
    run(callback: () => void, ms: number): Disposable;
}

/** Schedules callbacks with Node.js timers, which do not keep the process alive. */
export class TimerScheduler implements Scheduler {
    public run(callback: () => void, ms: number): Disposable {
        let immediate: NodeJS.Immediate | undefined;
        // After a stall of the event loop timers run before sockets are read, and what they wait for may have arrived there.
        const timer = setTimeout(() => (immediate = setImmediate(callback)), Math.max(0, ms));
        timer.unref();
        return {
            dispose: () => {
                clearTimeout(timer);
                clearImmediate(immediate);
            },
        };
    }
}

/** Passes messages and timer ticks to a core and applies its effects in order. */
export class CoreRunner<Message, Effect> implements Disposable {
    private timer: Disposable | undefined;
    private timerDueAtMs = Number.POSITIVE_INFINITY;
    private readonly inbox: Message[] = [];
    private busy = false;
    private disposed = false;

    public constructor(
        private readonly core: Core<Message, Effect>,
        private readonly clock: Clock,
        private readonly scheduler: Scheduler,
        private readonly applyEffect: (effect: Effect) => void,
    ) {}

    /**
     * Passes a message to the core. Messages sent while effects are being applied are queued until all effects of the
     * current message are applied, so that the core is never re-entered.
     */
    public send(message: Message): void {
        if (this.disposed) {
            return;
        }
        this.inbox.push(message);
        if (this.busy) {
            return;
        }
        this.busy = true;
        try {
            for (let next = this.inbox.shift(); next !== undefined; next = this.inbox.shift()) {
                this.applyEffects(this.core.handle(next, this.clock.nowMs()));
            }
        } finally {
            this.busy = false;
        }
        this.updateTimer();
    }

    public dispose(): void {
        this.disposed = true;
        this.timer?.dispose();
    }

    private tick(): void {
        this.timer = undefined;
        this.timerDueAtMs = Number.POSITIVE_INFINITY;
        this.busy = true;
        try {
            this.applyEffects(this.core.tick(this.clock.nowMs()));
        } finally {
            this.busy = false;
        }
        const next = this.inbox.shift();
        if (next === undefined) {
            this.updateTimer();
        } else {
            this.send(next);
        }
    }

    private applyEffects(effects: readonly Effect[]): void {
        for (const effect of effects) {
            this.applyEffect(effect);
        }
    }

    private updateTimer(): void {
        const dueAtMs = this.core.nextTickAtMs();
        if (dueAtMs === undefined || dueAtMs >= this.timerDueAtMs || this.disposed) {
            return;
        }
        this.timer?.dispose();
        this.timerDueAtMs = dueAtMs;
        this.timer = this.scheduler.run(() => this.tick(), dueAtMs - this.clock.nowMs());
    }
}
