import { Emitter } from "../base/event.js";
import type { Disposable } from "../base/lifecycle.js";
import type { LeavingSource, TargetAvailability } from "../decisions/health/targetAvailability.js";
import type { Target } from "./target.js";
import type { TargetDirectoryOptions } from "./targetDirectory.js";
import type { TargetSignals } from "./wire.js";

/** Maximum random extension of a requested pause, as a fraction of it. */
const pauseSpread = 0.1;
const maxPauseSpreadMs = 250;

/** A signal that a target sent in a response, for the metrics. */
export interface ReceivedSignal {
    readonly service: string;
    /** `load-ignored`: a report of the target's load that is malformed, absurd, or of an earlier start. */
    readonly kind: "leaving" | "pause" | "unreadable-pause" | "load-ignored";
}

/** Records what targets report in their responses. */
export class TargetSignalRecorder implements Disposable {
    private readonly signalEmitter = new Emitter<ReceivedSignal>();

    public readonly onDidReceiveSignal = this.signalEmitter.onDidFire;

    public constructor(private readonly options: Pick<TargetDirectoryOptions, "clock" | "random" | "logger">) {}

    /** Records the signals of an incarnation of a target, sent with any response: whether it accepts requests, and its load. */
    public observe(target: Target, availability: TargetAvailability, signals: TargetSignals): void {
        const { isLeaving, pause } = signals;
        const { service } = target.entry;
        this.observeLoad(target, availability, signals);
        if (isLeaving) {
            this.recordLeaving(availability, target.id, "answer");
            this.signalEmitter.fire({ service, kind: "leaving" });
        }
        if (pause.kind === "wait") {
            this.recordPause(availability, target.id, pause.ms);
            this.signalEmitter.fire({ service, kind: "pause" });
        } else if (pause.kind === "unreadable") {
            this.signalEmitter.fire({ service, kind: "unreadable-pause" });
        }
    }

    public recordLeaving(availability: TargetAvailability, target: string | undefined, source: LeavingSource): void {
        const atMs = this.options.clock.nowMs();
        if (availability.recordLeaving({ source, atMs })) {
            this.options.logger.write("info", "target is leaving", { target, source });
        }
    }

    public dispose(): void {
        this.signalEmitter.dispose();
    }

    private observeLoad(target: Target, availability: TargetAvailability, signals: TargetSignals): void {
        const { load, hasInvalidLoad } = signals;
        const { service } = target.entry;
        const isOfEarlierStart = availability !== target.availability;
        if (load?.slowdown !== undefined && !isOfEarlierStart) {
            target.speed.observeReport(load.slowdown, this.options.clock.nowMs());
        } else if (hasInvalidLoad === true || load?.slowdown !== undefined) {
            this.signalEmitter.fire({ service, kind: "load-ignored" });
        }
    }

    private recordPause(availability: TargetAvailability, target: string, askedMs: number): void {
        const { clock, random, logger } = this.options;
        const nowMs = clock.nowMs();
        const isNew = !availability.isClosed(nowMs);
        // Routers that received the pause at the same time must not all resume at the same time.
        const spreadMs = Math.min(askedMs * pauseSpread, maxPauseSpreadMs) * random.next();
        if (availability.pause.record(askedMs + spreadMs, nowMs) && isNew) {
            logger.write("info", "target requested a pause", { target, askedMs });
        }
    }
}
