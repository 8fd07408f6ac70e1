import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { RecordExpiryPolicy, RemovalVerdict } from "../decisions/health/recordExpiryPolicy.js";
import type { Target } from "./target.js";

/** Options of {@link RecordRemovalTracker}. */
export interface RecordRemovalOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly expiryPolicy: RecordExpiryPolicy;
}

/** Removal of a target's record while the target itself may still be running; monotonic times, milliseconds. */
export interface RecordRemoval {
    readonly atMs: number;
    /** The target may receive requests until this time. */
    readonly keptUntilMs: number;
}

/** Keeps targets for a limited time after their records were removed, as they may still be running. */
export class RecordRemovalTracker implements Disposable {
    private readonly timers = new Map<string, NodeJS.Timeout>();

    /** `onDidExpire`: called when the time is over and the target must be removed. */
    public constructor(
        private readonly options: RecordRemovalOptions,
        private readonly onDidExpire: (id: string) => void,
    ) {}

    /** Handles the removal of a target's record; returns false if the target must be removed at once. */
    public handleRemoval(target: Target): boolean {
        const { clock, expiryPolicy } = this.options;
        const nowMs = clock.nowMs();
        const verdict = expiryPolicy.checkRemoval(nowMs);
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

    /** Cancels the pending removal, because the target's record was written again or the target was removed. */
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
        this.options.logger.write("info", "target record removed", {
            target: id,
            keptForMs: Math.round(keptUntilMs - nowMs),
            viewAgeMs: viewAgeMs === undefined ? undefined : Math.round(viewAgeMs),
            outageAgoMs: outageAgoMs === undefined ? undefined : Math.round(outageAgoMs),
        });
    }
}
