import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { RecordExpiryPolicy, RemovalVerdict } from "../decisions/health/recordExpiryPolicy.js";
import type { Target } from "./target.js";

/** What {@link RecordRemovalTracker} need. */
export interface RecordRemovalOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly expiryPolicy: RecordExpiryPolicy;
}

/** That a target's record is gone although the target may live; monotonic times, milliseconds. */
export interface RecordRemoval {
    readonly atMs: number;
    /** Until then the target may get requests. */
    readonly keptUntilMs: number;
}

/** Targets whose records are gone, and which may live all the same. */
export class RecordRemovalTracker implements Disposable {
    private readonly timers = new Map<string, NodeJS.Timeout>();

    /** `onDidExpire`: the target is to be taken for gone. */
    public constructor(
        private readonly options: RecordRemovalOptions,
        private readonly onDidExpire: (id: string) => void,
    ) {}

    /** Takes that a target's record is gone; false: the target is, too. */
    public handleRemoval(target: Target): boolean {
        const { clock, expiryPolicy: lapses } = this.options;
        const nowMs = clock.nowMs();
        const verdict = lapses.checkRemoval(nowMs);
        const { keptUntilMs } = verdict;
        this.clear(target);
        this.writeVerdict(target, verdict, nowMs);
        if (keptUntilMs === undefined) {
            return false;
        }
        target.removal = { atMs: nowMs, keptUntilMs };
        const expire = (): void => {
            this.timers.delete(target.id);
            this.onDidExpire(target.id);
        };
        this.timers.set(target.id, setTimeout(expire, keptUntilMs - nowMs));
        return true;
    }

    /** The target's record is there again, or its removal is not waited for any more. */
    public clear(target: Target): void {
        clearTimeout(this.timers.get(target.id));
        this.timers.delete(target.id);
        target.removal = undefined;
    }

    public dispose(): void {
        for (const timer of this.timers.values()) {
            clearTimeout(timer);
        }
        this.timers.clear();
    }

    private writeVerdict({ id }: Target, verdict: RemovalVerdict, nowMs: number): void {
        const { keptUntilMs = nowMs, viewAgeMs, outageAgoMs } = verdict;
        this.options.logger.write("info", "a target's record is gone", {
            target: id,
            keptForMs: Math.round(keptUntilMs - nowMs),
            viewAgeMs: viewAgeMs === undefined ? undefined : Math.round(viewAgeMs),
            outageAgoMs: outageAgoMs === undefined ? undefined : Math.round(outageAgoMs),
        });
    }
}
