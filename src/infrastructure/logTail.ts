import { CancellationTokenSource } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import { Emitter } from "../base/event.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import type { PlatformError } from "./errors.js";
import type { LogPage, LogService } from "./logService.js";
import type { Sleep } from "../base/sleep.js";

/** Takes the pages of a stream in order. */
export interface LogReader {
    /** Offset to read from. */
    getNextOffset(): number;
    applyPage(page: LogPage): void;
}

/** What a {@link LogTail} needs. */
export interface LogTailOptions {
    readonly log: LogService;
    readonly stream: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: Sleep;
    /** Longest wait of one poll; milliseconds. */
    readonly waitMs: number;
}

const firstBackoffMs = 100;
const maxBackoffMs = 2_000;

/** Follows a stream with long polls and backs off while the platform is down. */
export class LogTail implements Disposable {
    private readonly cancellation = new CancellationTokenSource();
    private readonly failEmitter = new Emitter<PlatformError>();
    private readonly confirmEmitter = new Emitter<void>();
    private confirmedAtMs: number | undefined;
    private confirmedWallMs: number | undefined;
    private failures = 0;
    private running: Promise<void> | undefined;

    /** A read failed; the tail tries again on its own. */
    public readonly onDidFail = this.failEmitter.onDidFire;
    /** The reader has seen everything that was in the stream when the last read was sent. */
    public readonly onDidConfirm = this.confirmEmitter.onDidFire;

    public constructor(
        private readonly options: LogTailOptions,
        private readonly reader: LogReader,
    ) {}

    /**
     * Monotonic time at which the last read that reached the stream's end was sent; undefined before the first.
     * Not the time of its answer: the answer may have been under way, or this process paused, for any length of time,
     * and a lease counted from then would outlive what the log said.
     */
    public get lastConfirmedAtMs(): number | undefined {
        return this.confirmedAtMs;
    }

    /**
     * The same instant by the wall clock, noted when the read was sent: worked out backwards from its end it would hide
     * that the VM was frozen in between, while the monotonic clock may have stood still.
     */
    public get lastConfirmedWallMs(): number | undefined {
        return this.confirmedWallMs;
    }

    /** Whether the last read succeeded. */
    public get isConnected(): boolean {
        return this.failures === 0 && this.confirmedAtMs !== undefined;
    }

    /** Starts to read; later calls do nothing. */
    public start(): void {
        this.running ??= this.run();
    }

    public dispose(): void {
        this.cancellation.cancel();
        this.failEmitter.dispose();
        this.confirmEmitter.dispose();
    }

    private async run(): Promise<void> {
        const { token } = this.cancellation;
        while (!token.isCancelled) {
            const shouldPause = !(await this.readOnce());
            if (shouldPause) {
                await this.options.sleep(this.computeBackoffMs(), token);
            }
        }
    }

    /** Returns whether to read on at once. */
    private async readOnce(): Promise<boolean> {
        const { log, stream, clock, waitMs } = this.options;
        const sentAtMs = clock.nowMs();
        const sentWallMs = clock.nowDate().getTime();
        // The first read does not wait, so that a fresh process learns at once that there is nothing to learn.
        const firstWaitMs = this.confirmedAtMs === undefined || this.failures > 0 ? 0 : waitMs;
        const page = await log.read(stream, this.reader.getNextOffset(), firstWaitMs, this.cancellation.token);
        if (this.cancellation.token.isCancelled) {
            return true;
        }
        if (page.isErr()) {
            this.failures++;
            this.failEmitter.fire(page.error);
            return false;
        }
        this.failures = 0;
        this.reader.applyPage(page.value);
        if (this.reader.getNextOffset() >= page.value.endOffset) {
            this.confirmedAtMs = sentAtMs;
            this.confirmedWallMs = sentWallMs;
            this.confirmEmitter.fire();
        }
        // A log that answers at once though it has nothing new (it is short of memory for waiting readers, or a proxy cuts
        // the wait) would be asked without pause by every daemon. A poll that waited its time is pause enough.
        const waitedMs = clock.nowMs() - sentAtMs;
        return page.value.records.length > 0 || waitedMs >= waitMs / 2 || firstWaitMs === 0;
    }

    /** Full jitter: after an outage the fleet's reads come spread over time, not all at the same instant. */
    private computeBackoffMs(): number {
        const cap = Math.min(maxBackoffMs, firstBackoffMs * 2 ** Math.min(this.failures, 16));
        return firstBackoffMs + this.options.random.next() * (cap - firstBackoffMs);
    }
}
