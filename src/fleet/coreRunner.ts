import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Core } from "./core.js";

/** Runs a function later; an interface, so that tests decide when. */
export interface Scheduler {
    /** Calls back once after `ms` milliseconds unless disposed before. */
    run(callback: () => void, ms: number): Disposable;
}

/** The runtime's timers; they do not keep the process alive. */
export class TimerScheduler implements Scheduler {
    public run(callback: () => void, ms: number): Disposable {
        const timer = setTimeout(callback, Math.max(0, ms));
        timer.unref();
        return { dispose: () => clearTimeout(timer) };
    }
}

/** Feeds a core with messages and time, and hands its effects to the shell in order. */
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
     * Hands the core a message. A message that an effect causes is taken after the effects before it: the core never
     * sees a message while it is at work on another.
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
