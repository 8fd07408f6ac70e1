import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { SourceHealth } from "./fleetSource.js";
import type { Target } from "./target.js";

/**
 * Records lapse while the platform's store is away although their targets live, and are back within two seconds of its
 * return. Dropped at once, a whole service would be without targets for these seconds.
 */
const lapseGraceMs = 2_300;

/** What {@link RemovedRecords} need. */
export interface RemovedRecordsOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    /** How the link to the platform stands; undefined without one. */
    readonly getHealth: () => SourceHealth | undefined;
}

/** Targets whose records are gone, and which may live all the same. */
export class RemovedRecords implements Disposable {
    private readonly timers = new Map<string, NodeJS.Timeout>();

    /** `onDidExpire`: the target is to be taken for gone. */
    public constructor(
        private readonly options: RemovedRecordsOptions,
        private readonly onDidExpire: (id: string) => void,
    ) {}

    /** Takes that a target's record is gone; false: the target is, too. */
    public handleRemoval(target: Target): boolean {
        const { clock, getHealth } = this.options;
        const nowMs = clock.nowMs();
        const health = getHealth();
        const failedAtMs = health?.isConnected === false ? nowMs : health?.lastFailureAtMs;
        const graceMs = failedAtMs === undefined ? 0 : failedAtMs + lapseGraceMs - nowMs;
        this.clear(target);
        if (graceMs <= 0) {
            return false;
        }
        target.removedAtMs = nowMs;
        this.writeKept(target, graceMs, failedAtMs, health?.targetsCoveredUntilMs);
        const expire = (): void => {
            this.timers.delete(target.id);
            this.onDidExpire(target.id);
        };
        this.timers.set(target.id, setTimeout(expire, graceMs));
        return true;
    }

    /** The target's record is there again, or its removal is not waited for any more. */
    public clear(target: Target): void {
        clearTimeout(this.timers.get(target.id));
        this.timers.delete(target.id);
        target.removedAtMs = undefined;
    }

    public dispose(): void {
        for (const timer of this.timers.values()) {
            clearTimeout(timer);
        }
        this.timers.clear();
    }

    private writeKept(target: Target, graceMs: number, failedAtMs?: number, coveredUntilMs?: number): void {
        const { clock, logger } = this.options;
        const toAge = (atMs: number | undefined): number | undefined =>
            atMs === undefined ? undefined : Math.round(clock.nowMs() - atMs);
        logger.write("info", "a target's record is gone, perhaps lapsed; the target is kept for a time", {
            target: target.id,
            keptForMs: Math.round(graceMs),
            failedAgoMs: toAge(failedAtMs),
            viewAgeMs: toAge(coveredUntilMs),
        });
    }
}
