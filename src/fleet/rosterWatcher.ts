import type { CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import { Emitter } from "../base/event.js";
import { DisposableStore, type Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import { LogTail } from "../infrastructure/logTail.js";
import type { LogPage, LogService } from "../infrastructure/logService.js";
import type { Sleep } from "../base/sleep.js";
import { defaultLogRetentionMs } from "./documentWatcher.js";
import { computeRosterTimes, formatRosterStream, RosterState, type RosterMember } from "./rosterState.js";

/** Dependencies and settings of a {@link RosterWatcher}. */
export interface RosterWatcherOptions {
    readonly environment: string;
    readonly log: LogService;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: Sleep;
    /** Minimum time for which the platform keeps log records; milliseconds. */
    readonly logRetentionMs?: number;
    /** Maximum duration of one long poll; milliseconds. Must be well below the lease of key owners. */
    readonly pollWaitMs?: number;
}

/** Less than a third of the key owners' ten-second lease, so that the lease survives one lost poll. */
const defaultPollWaitMs = 3_000;

/** Reads the roster stream continuously and keeps its state up to date. */
export class RosterWatcher implements Disposable {
    private readonly store = new DisposableStore();
    private readonly changeEmitter = this.store.add(new Emitter<void>());
    private readonly readEmitter = this.store.add(new Emitter<void>());
    private readonly tail: LogTail;

    /** Current and recent memberships. */
    public readonly state: RosterState;
    /** Fires when a daemon joined, left or expired. */
    public readonly onDidChange = this.changeEmitter.onDidFire;
    /** Fires when records were read or the end of the stream was confirmed. */
    public readonly onDidRead = this.readEmitter.onDidFire;

    public constructor(private readonly options: RosterWatcherOptions) {
        const { log, clock, random, sleep } = options;
        this.state = new RosterState(computeRosterTimes(options.logRetentionMs ?? defaultLogRetentionMs));
        const stream = formatRosterStream(options.environment);
        const waitMs = options.pollWaitMs ?? defaultPollWaitMs;
        this.tail = this.store.add(
            new LogTail(
                { log, stream, clock, random, sleep, waitMs },
                { getNextOffset: () => this.state.nextOffset, applyPage: page => this.applyPage(page) },
            ),
        );
        this.store.add(this.tail.onDidConfirm(() => this.readEmitter.fire()));
    }

    /** Registered daemons by id. */
    public get members(): ReadonlyMap<string, RosterMember> {
        return this.state.members;
    }

    /** Monotonic time up to which the log confirmed this roster; undefined until the stream's end is first reached. */
    public get lastConfirmedAtMs(): number | undefined {
        return this.tail.lastConfirmedAtMs;
    }

    /** {@link lastConfirmedAtMs} on the wall clock. */
    public get lastConfirmedWallMs(): number | undefined {
        return this.tail.lastConfirmedWallMs;
    }

    /** Whether the last read of the platform's log succeeded. */
    public get isLogConnected(): boolean {
        return this.tail.isConnected;
    }

    /** Checks, without waiting, for unread records. Returns the read's start time if there are none, else undefined. */
    public async verify(token: CancellationToken): Promise<number | undefined> {
        const { log, clock, environment } = this.options;
        const startedAtMs = clock.nowMs();
        const page = await log.read(formatRosterStream(environment), this.state.nextOffset, 0, token);
        const isCurrent = page.isOk() && page.value.endOffset <= this.state.nextOffset;
        return isCurrent ? startedAtMs : undefined;
    }

    public start(): void {
        this.tail.start();
    }

    public dispose(): void {
        this.store.dispose();
    }

    private applyPage(page: LogPage): void {
        if (this.state.applyPage(page)) {
            this.changeEmitter.fire();
        }
        if (page.records.length > 0) {
            this.readEmitter.fire();
        }
    }
}
