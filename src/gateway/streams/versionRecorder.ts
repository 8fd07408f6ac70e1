import { CancellationTokenSource } from "../../base/cancellation.js";
import type { Clock } from "../../base/clock.js";
import { describeError } from "../../base/errors.js";
import { orderByRendezvous } from "../../base/hash.js";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import type { Logger } from "../../base/log.js";
import type { Random } from "../../base/random.js";
import type { Sleep } from "../../base/sleep.js";
import type { SetTimer } from "../../base/timers.js";
import {
    computeVersionCoverage,
    createVersionRecord,
    isRecorded,
    mergeVersionRecords,
    type VersionRecord,
} from "../../decisions/versions/versionRecord.js";
import type { PeerView } from "../peers/peerView.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { StoredVersions, VersionRecords } from "./versionRecords.js";

/** Dependencies of a {@link VersionRecorder}. */
export interface VersionRecorderOptions {
    readonly ownId: string;
    readonly peers: Pick<PeerView, "routers">;
    readonly directory: Pick<TargetDirectory, "versions">;
    readonly records: VersionRecords;
    /** Whether the targets have been read. */
    readonly hasTargets: () => boolean;
    readonly clock: Clock;
    readonly random: Random;
    readonly setTimer: SetTimer;
    readonly sleep: Sleep;
    readonly logger: Logger;
}

interface PendingCheck {
    /** Records that were read before this time may not show the change yet; milliseconds. */
    changedAtMs: number;
    readonly dueAtMs: number;
    timer: Disposable | undefined;
}

/** Interval between attempts to read the history, and between attempts to write. */
const retryMs = 1_000;
const targetsPollMs = 20;
/** Time from a change to the check by each further router of the ranking; milliseconds. */
const rankDelayMs = 1_000;
/** Number of routers that check whether a change is recorded, which limits the calls per change. */
const checkingRouters = 3;
/** Interval after the start until the other routers are known, and the first checks are made; milliseconds. */
const startDelayMs = 100;
const maxConflictDelayMs = 200;
/** Time after a write of a service's record until versions that left are written; milliseconds. */
const minWritePeriodMs = 1_000;
/** Maximum number of services with a record. */
const maxServices = 256;
/** Maximum number of services in a log line. */
const maxLoggedServices = 8;
/** The store's keys have at most 255 bytes. */
const maxServiceBytes = 200;

/**
 * Records which versions services had in the platform's store, and reads them at the start: after all routers have ended, none knows
 * which version began a stream.
 *
 * A record is written when a version appears or its last target leaves. The first live router by rendezvous hashing over service and
 * router writes at once; the next two check one and two seconds later whether the record shows the change. Writes are conditional, so
 * that concurrent writers don't lose changes.
 */
export class VersionRecorder implements Disposable {
    private readonly store = new DisposableStore();
    private readonly lifetime = this.store.add(new CancellationTokenSource());
    private readonly startedAtMs: number;
    private readonly pending = new Map<string, PendingCheck>();
    private readonly known = new Map<string, VersionRecord>();
    /** Monotonic time of this router's last write for a service; milliseconds. */
    private readonly writtenAt = new Map<string, number>();
    private endOffset = 0;
    private readAtMs = Number.NEGATIVE_INFINITY;
    /** Checks run one after the other, so that one read serves several services. */
    private queue: Promise<void> = Promise.resolve();
    private isLoaded = false;
    private hasFailed = false;

    public constructor(private readonly options: VersionRecorderOptions) {
        this.startedAtMs = options.clock.nowMs();
        const { versions } = options.directory;
        this.store.add(versions.onDidAdd(service => this.handleAdded(service)));
        this.store.add(versions.onDidRemove(service => this.handleRemoved(service)));
    }

    /** Reads the history once the targets are known; retries while the store is unavailable. */
    public async load(): Promise<void> {
        const { records, sleep, hasTargets } = this.options;
        const { token } = this.lifetime;
        while (!hasTargets() && !token.isCancelled) {
            await sleep(targetsPollMs, token);
        }
        while (!token.isCancelled) {
            const readAtMs = this.options.clock.nowMs();
            const found = await records.read(token);
            if (found.isOk()) {
                this.applyRead(found.value, readAtMs);
                this.applyHistory(found.value);
                return;
            }
            this.reportFailure("reading the history of versions failed; will be retried", found.error.message);
            await sleep(retryMs, token);
        }
    }

    /** Writes the records again that the store may have lost when it was restored from an older copy. */
    public handleRewind(): void {
        this.options.directory.versions.listServices().forEach(service => this.handleAdded(service));
    }

    public dispose(): void {
        this.lifetime.cancel();
        this.pending.forEach(({ timer }) => timer?.dispose());
        this.pending.clear();
        this.store.dispose();
    }

    private applyHistory({ records, unreadableServices }: StoredVersions): void {
        const { directory, clock, logger } = this.options;
        const { versions } = directory;
        const times = { nowMs: clock.nowMs(), nowDate: clock.nowDate() };
        const isFirst = records.length + unreadableServices.length === 0;
        versions.applyHistory(
            records.map(record => ({ service: record.service, coverage: computeVersionCoverage(record, times) })),
            isFirst,
        );
        this.isLoaded = true;
        this.hasFailed = false;
        logger.write("info", "read the history of versions", {
            isFirst,
            services: records.length,
            unreadable: unreadableServices.slice(0, maxLoggedServices).join(" "),
            records: records.slice(0, maxLoggedServices).map(describeRecord).join("; "),
        });
        for (const service of versions.listServices()) {
            this.addCheck(service, Number.NEGATIVE_INFINITY, startDelayMs);
        }
    }

    /** A version that is not recorded yet could be missed if all routers ended now. */
    private handleAdded(service: string): void {
        if (this.isLoaded) {
            this.addCheck(service, this.options.clock.nowMs(), 0);
        }
    }

    /** A version that left counts as present until that is recorded, so that frequent changes may be written together. */
    private handleRemoved(service: string): void {
        if (this.isLoaded) {
            const nowMs = this.options.clock.nowMs();
            const writtenAtMs = this.writtenAt.get(service) ?? Number.NEGATIVE_INFINITY;
            this.addCheck(service, nowMs, Math.max(0, writtenAtMs + minWritePeriodMs - nowMs));
        }
    }

    /** Schedules a check of the service's record. An earlier check that is already scheduled covers the change as well. */
    private addCheck(service: string, changedAtMs: number, delayMs: number): void {
        const rank = this.findRank(service);
        // Routers beyond those that check look at the ranking once more, as routers before them may have ended with the change.
        const rankedMs = delayMs + Math.min(rank, checkingRouters) * rankDelayMs;
        const dueAtMs = this.options.clock.nowMs() + rankedMs;
        const earlier = this.pending.get(service);
        if (earlier !== undefined && earlier.dueAtMs <= dueAtMs) {
            earlier.changedAtMs = Math.max(earlier.changedAtMs, changedAtMs);
            return;
        }
        earlier?.timer?.dispose();
        const check: PendingCheck = { changedAtMs, dueAtMs, timer: undefined };
        this.pending.set(service, check);
        this.startTimer(service, check, rankedMs, rank);
    }

    /** `rank`: this router's rank when the timer was started. */
    private startTimer(service: string, check: PendingCheck, delayMs: number, rank: number): void {
        check.timer = this.options.setTimer(delayMs, () => {
            // After a start of the whole fleet, each router would otherwise take itself for the first one.
            if (check.changedAtMs === Number.NEGATIVE_INFINITY && !this.options.peers.routers.isSettled) {
                this.startTimer(service, check, startDelayMs, rank);
                return;
            }
            const currentRank = this.findRank(service);
            if (currentRank > rank && currentRank < checkingRouters) {
                this.startTimer(service, check, (currentRank - rank) * rankDelayMs, currentRank);
                return;
            }
            this.pending.delete(service);
            if (currentRank < checkingRouters) {
                this.queue = this.queue.then(() => this.checkLogged(service, check.changedAtMs));
            }
        });
    }

    private findRank(service: string): number {
        const { peers, ownId } = this.options;
        const rank = orderByRendezvous(service, peers.routers.routerIds, id => id).indexOf(ownId);
        return rank < 0 ? 0 : rank;
    }

    /** A failed check must not keep the queue from the checks after it. */
    private async checkLogged(service: string, changedAtMs: number): Promise<void> {
        try {
            await this.check(service, changedAtMs);
        } catch (error) {
            this.options.logger.write("error", "recording the history of versions failed", {
                service,
                detail: describeError(error),
            });
        }
    }

    /** Writes the service's record unless it shows what this router has observed. */
    private async check(service: string, changedAtMs: number): Promise<void> {
        const { records, clock, logger, random } = this.options;
        const { token } = this.lifetime;
        if (token.isCancelled || !this.canRecord(service)) {
            return;
        }
        const isCurrent = (): boolean =>
            isRecorded(this.known.get(service), this.observe(service), this.options.clock.nowDate());
        // Other routers write as well, so that what was read before the change tells nothing about it.
        if (this.readAtMs > changedAtMs && isCurrent()) {
            return;
        }
        if (this.readAtMs <= changedAtMs) {
            const readAtMs = clock.nowMs();
            const found = await records.read(token);
            if (found.isErr()) {
                this.reportFailure("reading the history of versions failed; will be retried", found.error.message);
                this.addRetry(service, retryMs);
                return;
            }
            this.applyRead(found.value, readAtMs);
        }
        if (isCurrent() || token.isCancelled) {
            return;
        }
        const next = mergeVersionRecords(this.known.get(service), this.observe(service), clock.nowDate());
        const outcome = await records.write(next, this.endOffset, token);
        // After a failed or superseded write, the end of the topic is no longer known.
        if (outcome.isErr()) {
            this.readAtMs = Number.NEGATIVE_INFINITY;
            this.reportFailure("writing the history of versions failed; will be retried", outcome.error.message);
            this.addRetry(service, retryMs);
        } else if (outcome.value === "superseded") {
            this.readAtMs = Number.NEGATIVE_INFINITY;
            this.addRetry(service, random.next() * maxConflictDelayMs);
        } else {
            this.hasFailed = false;
            this.endOffset += 1;
            this.known.set(service, next);
            this.writtenAt.set(service, clock.nowMs());
            logger.write("info", "wrote the history of versions", { record: describeRecord(next) });
        }
    }

    private canRecord(service: string): boolean {
        const { logger } = this.options;
        const canRecord =
            Buffer.byteLength(service) <= maxServiceBytes && (this.known.has(service) || this.known.size < maxServices);
        if (!canRecord) {
            logger.write("warn", "the history of versions is not recorded: too many services, or too long a name", {
                service: service.slice(0, maxServiceBytes),
            });
        }
        return canRecord;
    }

    private addRetry(service: string, delayMs: number): void {
        if (!this.lifetime.token.isCancelled && !this.pending.has(service)) {
            const nowMs = this.options.clock.nowMs();
            const check: PendingCheck = { changedAtMs: nowMs, dueAtMs: nowMs + delayMs, timer: undefined };
            this.pending.set(service, check);
            this.startTimer(service, check, delayMs, this.findRank(service));
        }
    }

    private applyRead({ records, endOffset }: StoredVersions, readAtMs: number): void {
        this.known.clear();
        records.forEach(record => this.known.set(record.service, record));
        this.endOffset = endOffset;
        this.readAtMs = readAtMs;
    }

    /** This router's own observations as a record. */
    private observe(service: string): VersionRecord {
        const { directory, clock } = this.options;
        const times = { nowMs: clock.nowMs(), nowDate: clock.nowDate() };
        return createVersionRecord(service, directory.versions, this.startedAtMs, times);
    }

    private reportFailure(message: string, detail: string): void {
        if (!this.hasFailed && !this.lifetime.token.isCancelled) {
            this.hasFailed = true;
            this.options.logger.write("warn", message, { detail });
        }
    }
}

function describeRecord({ service, observedFrom, isFirst, versions }: VersionRecord): string {
    const described = versions.map(({ version, lastSeen }) => `${version}:${lastSeen?.toISOString() ?? "present"}`);
    return [service, `${isFirst ? "first" : "from"}:${observedFrom.toISOString()}`, ...described].join(" ");
}
