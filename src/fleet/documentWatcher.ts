import { CancellationTokenSource } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import { Emitter } from "../base/event.js";
import { DisposableStore, type Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import { formatDocumentStream } from "../document/change.js";
import { DocumentState, type DecidedRecord } from "../document/documentState.js";
import type { AcceptedDocument } from "../document/schema.js";
import type { EventRecorder } from "../events/fleetEvent.js";
import { LogTail } from "../infrastructure/logTail.js";
import type { LogPage, LogService } from "../infrastructure/logService.js";
import type { Sleep } from "../base/sleep.js";
import { SnapshotSchedule } from "./snapshotSchedule.js";

/** What a {@link DocumentWatcher} needs. */
export interface DocumentWatcherOptions {
    readonly environment: string;
    readonly log: LogService;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: Sleep;
    readonly recorder: EventRecorder;
    /** How long the platform keeps records at least; milliseconds. */
    readonly logRetentionMs?: number;
    /** Longest wait of one poll; milliseconds. */
    readonly pollWaitMs?: number;
}

/** Retention that the daemons count on when the settings say nothing; milliseconds. */
export const defaultLogRetentionMs = 3_600_000;
/** A poll that hangs in a broken connection blinds the daemon until it times out, so polls are kept short. */
const defaultPollWaitMs = 5_000;

/** Keeps the environment's document in force on this daemon: from the log, or from peers while the log is down. */
export class DocumentWatcher implements Disposable {
    private readonly store = new DisposableStore();
    private readonly cancellation = this.store.add(new CancellationTokenSource());
    private readonly acceptEmitter = this.store.add(new Emitter<AcceptedDocument>());
    private readonly state = new DocumentState();
    private readonly tail: LogTail;
    private readonly schedule: SnapshotSchedule;
    private readonly stream: string;

    /** A newer document is in force. Offsets only rise. */
    public readonly onDidAccept = this.acceptEmitter.onDidFire;

    public constructor(private readonly options: DocumentWatcherOptions) {
        const { log, clock, random, sleep } = options;
        this.stream = formatDocumentStream(options.environment);
        this.schedule = new SnapshotSchedule(options.logRetentionMs ?? defaultLogRetentionMs, random);
        const waitMs = options.pollWaitMs ?? defaultPollWaitMs;
        this.tail = this.store.add(
            new LogTail(
                { log, stream: this.stream, clock, random, sleep, waitMs },
                { getNextOffset: () => this.state.nextOffset, applyPage: page => this.applyPage(page) },
            ),
        );
        this.store.add(this.tail.onDidConfirm(() => this.appendSnapshotIfDue()));
    }

    /** The document in force; undefined before the first. */
    public get current(): AcceptedDocument | undefined {
        return this.state.accepted;
    }

    /** Monotonic time up to which the log has confirmed that nothing newer was accepted; undefined before the first. */
    public get lastConfirmedAtMs(): number | undefined {
        return this.tail.lastConfirmedAtMs;
    }

    /** Whether changes can be judged; false after records were lost to retention, until a snapshot or peer helps. */
    public get isHistoryKnown(): boolean {
        return this.state.isHistoryKnown;
    }

    /** Whether the platform's log answered the last read. */
    public get isLogConnected(): boolean {
        return this.tail.isConnected;
    }

    public start(): void {
        this.tail.start();
    }

    /** Takes a document that a peer passed on; older and equal ones are ignored. */
    public applyPeerDocument(peer: AcceptedDocument): void {
        if (this.state.applyPeerDocument(peer)) {
            this.fireAccepted("peer");
        }
    }

    /** What to pass on to a peer. */
    public buildPeerDocument(): AcceptedDocument | undefined {
        return this.state.buildPeerDocument();
    }

    public dispose(): void {
        this.cancellation.cancel();
        this.store.dispose();
    }

    private applyPage(page: LogPage): void {
        const before = this.state.basis;
        const decided = this.state.applyPage(page);
        if (this.tail.lastConfirmedAtMs !== undefined) {
            this.recordRejected(decided);
        }
        if (this.state.basis > before) {
            this.fireAccepted("log");
        }
    }

    private fireAccepted(reason: "log" | "peer"): void {
        const accepted = this.state.accepted;
        if (accepted !== undefined) {
            this.options.recorder.record({ kind: "document-accepted", value: accepted.offset, reason });
            this.acceptEmitter.fire(accepted);
        }
    }

    private recordRejected(decided: readonly DecidedRecord[]): void {
        for (const record of decided) {
            if (record.verdict === "conflict" || record.verdict === "invalid") {
                const { offset, verdict } = record;
                this.options.recorder.record({ kind: "document-rejected", value: offset, reason: verdict });
            }
        }
    }

    private appendSnapshotIfDue(): void {
        const { clock, log } = this.options;
        const snapshot = this.state.buildSnapshot();
        const need = {
            neededSinceMs: this.state.neededSinceMs,
            recordsSinceSnapshot: this.state.recordsSinceSnapshot,
            wallMs: clock.nowDate().getTime(),
            nowMs: clock.nowMs(),
        };
        if (snapshot !== undefined && this.schedule.isDue(need)) {
            // A lost answer or a failure needs no answer: until a snapshot shows in the log, one stays due.
            void log.append(this.stream, snapshot, this.cancellation.token);
        }
    }
}
