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

/** Dependencies and settings of a {@link DocumentWatcher}. */
export interface DocumentWatcherOptions {
    readonly environment: string;
    readonly log: LogService;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: Sleep;
    readonly recorder: EventRecorder;
    /** Minimum time for which the platform keeps log records; milliseconds. */
    readonly logRetentionMs?: number;
    /** Maximum duration of one long poll; milliseconds. */
    readonly pollWaitMs?: number;
}

/** Log retention that daemons assume if the settings have none; milliseconds. */
export const defaultLogRetentionMs = 3_600_000;
/** Polls are short, since a daemon receives no updates while a poll hangs on a dead connection. */
const defaultPollWaitMs = 5_000;

/** Provides the environment's current document, read from the log, or from peers while the log is unavailable. */
export class DocumentWatcher implements Disposable {
    private readonly store = new DisposableStore();
    private readonly cancellation = this.store.add(new CancellationTokenSource());
    private readonly acceptEmitter = this.store.add(new Emitter<AcceptedDocument>());
    private readonly state = new DocumentState();
    private readonly tail: LogTail;
    private readonly schedule: SnapshotSchedule;
    private readonly stream: string;

    /** Fires when a newer document takes effect; offsets always increase. */
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

    /** The document in effect; undefined until the first one is accepted. */
    public get current(): AcceptedDocument | undefined {
        return this.state.accepted;
    }

    /** Monotonic time up to which the log confirmed the current document; undefined before the first confirmation. */
    public get lastConfirmedAtMs(): number | undefined {
        return this.tail.lastConfirmedAtMs;
    }

    /** Whether changes can be validated; false from the loss of unread records until a snapshot or peer document. */
    public get isHistoryKnown(): boolean {
        return this.state.isHistoryKnown;
    }

    /** Whether the last read of the platform's log succeeded. */
    public get isLogConnected(): boolean {
        return this.tail.isConnected;
    }

    public start(): void {
        this.tail.start();
    }

    /** Applies a document received from a peer; ignored unless it is newer than the current one. */
    public applyPeerDocument(peer: AcceptedDocument): void {
        if (this.state.applyPeerDocument(peer)) {
            this.fireAccepted("peer");
        }
    }

    /** The document to send to peers. */
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
        const status = {
            neededSinceMs: this.state.neededSinceMs,
            recordsSinceSnapshot: this.state.recordsSinceSnapshot,
            wallMs: clock.nowDate().getTime(),
            nowMs: clock.nowMs(),
        };
        if (snapshot !== undefined && this.schedule.isDue(status)) {
            // Failures need no handling: a snapshot remains due until one is read from the log.
            void log.append(this.stream, snapshot, this.cancellation.token);
        }
    }
}
