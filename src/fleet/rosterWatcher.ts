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

/** What a {@link RosterWatcher} needs. */
export interface RosterWatcherOptions {
    readonly environment: string;
    readonly log: LogService;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: Sleep;
    /** How long the platform keeps records at least; milliseconds. */
    readonly logRetentionMs?: number;
    /** Longest wait of one poll; milliseconds. Must be well under the lease of key homes. */
    readonly pollWaitMs?: number;
}

/** Under a third of the ten-second lease, so that one lost poll does not let it lapse. */
const defaultPollWaitMs = 3_000;

/** Follows the roster stream. */
export class RosterWatcher implements Disposable {
    private readonly store = new DisposableStore();
    private readonly changeEmitter = this.store.add(new Emitter<void>());
    private readonly readEmitter = this.store.add(new Emitter<void>());
    private readonly tail: LogTail;

    /** The roster with its history. */
    public readonly state: RosterState;
    /** A daemon joined, left or expired. */
    public readonly onDidChange = this.changeEmitter.onDidFire;
    /** Records were read, or the end of the stream was confirmed. */
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

    /** Monotonic time up to which the log has confirmed this roster; undefined before the first read to the end. */
    public get lastConfirmedAtMs(): number | undefined {
        return this.tail.lastConfirmedAtMs;
    }

    /** The same instant by the wall clock. */
    public get lastConfirmedWallMs(): number | undefined {
        return this.tail.lastConfirmedWallMs;
    }

    /** Whether the platform's log answered the last read. */
    public get isLogConnected(): boolean {
        return this.tail.isConnected;
    }

    /** Reads to the stream's end without waiting. When the read began if nothing new was there, else undefined. */
    public async verify(token: CancellationToken): Promise<number | undefined> {
        const { log, clock, environment } = this.options;
        const beganAtMs = clock.nowMs();
        const page = await log.read(formatRosterStream(environment), this.state.nextOffset, 0, token);
        const isCurrent = page.isOk() && page.value.endOffset <= this.state.nextOffset;
        return isCurrent ? beganAtMs : undefined;
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
