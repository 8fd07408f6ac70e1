import { err, type Result } from "neverthrow";
import { documentRecordSchema, type ChangeRecord, type RestoreRecord, type SnapshotRecord } from "./change.js";
import type { InvalidDocumentError, PatchError } from "./documentErrors.js";
import { checkDocument } from "./parseDocument.js";
import { applyPatch } from "./patch.js";
import type { AcceptedDocument, EnvironmentDocument } from "./schema.js";

/** A record as the log gives it. */
export interface StreamRecord {
    readonly offset: number;
    readonly appendedAtMs: number;
    readonly value: unknown;
}

/** Part of the document stream, in order, and the oldest offset that the log still keeps. */
export interface StreamPage {
    readonly records: readonly StreamRecord[];
    readonly firstOffset: number;
}

/** What became of a record. `undecided`: the history before it is lost, so nobody can tell any more. */
export type RecordVerdict = "accepted" | "conflict" | "invalid" | "snapshot" | "unreadable" | "undecided";

/** A record and what became of it. */
export interface DecidedRecord {
    readonly offset: number;
    readonly appendedAtMs: number;
    readonly verdict: RecordVerdict;
    /** Set for changes and restores. */
    readonly change?: ChangeRecord | RestoreRecord;
    /** Set for accepted ones: the document before the change. */
    readonly before?: EnvironmentDocument;
    /** Why an invalid one was. */
    readonly detail?: string;
}

/** Records were dropped before this reader saw them. */
interface HistoryGap {
    /** First offset behind the gap. */
    readonly startOffset: number;
    /** Last offset that was applied before the gap. */
    readonly knownUpTo: number;
    /** What was read behind the gap and cannot be decided yet. */
    readonly undecided: StreamRecord[];
}

const noOffset = -1;

/**
 * The acceptance rule as a deterministic fold over an environment's document stream: a change is accepted if its basis
 * is the last accepted offset and the patched document is valid. All readers of the same records agree.
 *
 * A reader that missed records (restart, retention) knows nothing of what was accepted among them. Were it to judge
 * later changes all the same, it could accept one that the others reject, and two documents would be in force. So it
 * keeps its document and decides nothing until a snapshot, a peer or an operator's restore bridges the gap.
 */
export class DocumentState {
    private acceptedDocument: AcceptedDocument | undefined;
    private next = 0;
    private gap: HistoryGap | undefined;
    /** Records that a reader without state needs besides the newest snapshot, oldest first. */
    private recordTimes: { readonly offset: number; readonly appendedAtMs: number }[] = [];

    /** The document in force; undefined before the first. Its offset never falls. */
    public get accepted(): AcceptedDocument | undefined {
        return this.acceptedDocument;
    }

    /** First offset not yet read. */
    public get nextOffset(): number {
        return this.next;
    }

    /** Whether every record that matters was seen, so that changes can be judged. */
    public get isHistoryKnown(): boolean {
        return this.gap === undefined;
    }

    /** Offset that a new change must name as its basis; -1 before the first. */
    public get basis(): number {
        return this.acceptedDocument?.offset ?? noOffset;
    }

    /** How many records a reader without state must read; grows until the next snapshot. */
    public get recordsSinceSnapshot(): number {
        return this.recordTimes.length;
    }

    /** When the oldest record that a reader without state needs was appended; platform's clock. */
    public get neededSinceMs(): number | undefined {
        return this.recordTimes.at(0)?.appendedAtMs;
    }

    /** Applies records in log order; ones already applied are skipped. Returns what was decided. */
    public applyPage(page: StreamPage): readonly DecidedRecord[] {
        const decided: DecidedRecord[] = [];
        if (page.firstOffset > this.next) {
            this.openGap(page.firstOffset);
        }
        for (const record of page.records) {
            if (record.offset > this.next) {
                this.openGap(record.offset);
            }
            if (record.offset === this.next) {
                this.next++;
                decided.push(...this.applyRecord(record));
            }
        }
        return decided;
    }

    /**
     * Takes a document that a peer has accepted, with the last offset the peer had applied.
     * Returns whether it is now in force here; an older one is ignored, so that nothing reverts.
     */
    public applyPeerDocument(peer: AcceptedDocument): boolean {
        const upTo = peer.upTo ?? peer.offset;
        if (this.gap !== undefined) {
            return this.applyPeerAcrossGap(peer, upTo, this.gap);
        }
        // A known history that has passed the peer's offset has decided it already.
        if (peer.offset < this.next) {
            return false;
        }
        this.acceptedDocument = { offset: peer.offset, document: peer.document };
        this.next = upTo + 1;
        this.recordTimes = [];
        return true;
    }

    /** What to pass to a peer; undefined before the first document. */
    public buildPeerDocument(): AcceptedDocument | undefined {
        const upTo = this.gap?.knownUpTo ?? this.next - 1;
        return (
            this.acceptedDocument && { ...this.acceptedDocument, upTo: Math.max(upTo, this.acceptedDocument.offset) }
        );
    }

    /** A snapshot of the present state; undefined while there is nothing certain to write down. */
    public buildSnapshot(): SnapshotRecord | undefined {
        if (this.acceptedDocument === undefined || this.gap !== undefined) {
            return undefined;
        }
        const { offset, document } = this.acceptedDocument;
        return { type: "snapshot", accepted: offset, upTo: this.next - 1, document };
    }

    private openGap(startOffset: number): void {
        this.gap = { startOffset, knownUpTo: this.gap?.knownUpTo ?? this.next - 1, undecided: [] };
        this.next = startOffset;
        this.recordTimes = [];
    }

    private applyPeerAcrossGap(peer: AcceptedDocument, upTo: number, gap: HistoryGap): boolean {
        if (peer.offset < this.basis) {
            return false;
        }
        const isNewer = peer.offset > this.basis;
        this.acceptedDocument = { offset: peer.offset, document: peer.document };
        if (upTo + 1 >= gap.startOffset) {
            this.closeGap(gap, upTo);
        }
        return isNewer;
    }

    /** Everything up to `upTo` is settled: judges what was read behind it. */
    private closeGap(gap: HistoryGap, upTo: number): readonly DecidedRecord[] {
        this.gap = undefined;
        this.next = Math.max(this.next, upTo + 1);
        this.recordTimes = [];
        return gap.undecided.flatMap(record =>
            record.offset > upTo ? this.applyRecord(record) : [this.resolveSettled(record)],
        );
    }

    /** A record that a snapshot covers: only the one that made its document is known to be accepted. */
    private resolveSettled(record: StreamRecord): DecidedRecord {
        const change = readChange(record);
        const verdict = record.offset === this.basis ? "accepted" : change === undefined ? "snapshot" : "undecided";
        return { offset: record.offset, appendedAtMs: record.appendedAtMs, verdict, change };
    }

    private applyRecord(record: StreamRecord): readonly DecidedRecord[] {
        const { offset, appendedAtMs } = record;
        this.recordTimes.push({ offset, appendedAtMs });
        const parsed = documentRecordSchema.safeParse(record.value);
        if (!parsed.success) {
            return [{ offset, appendedAtMs, verdict: "unreadable" }];
        }
        switch (parsed.data.type) {
            case "restore":
                return this.applyRestore(record, parsed.data);
            case "snapshot":
                return this.applySnapshot(record, parsed.data);
            case "change":
                return this.applyChange(record, parsed.data);
        }
    }

    private applyChange(record: StreamRecord, change: ChangeRecord): readonly DecidedRecord[] {
        const { offset, appendedAtMs } = record;
        if (this.gap !== undefined) {
            this.gap.undecided.push(record);
            return [];
        }
        // Two operators who saw the same document write the same basis. The one that comes first in the log moves the
        // accepted offset on, so that the other no longer fits: no reader can take both, and none takes the second.
        if (change.basis !== this.basis) {
            return [{ offset, appendedAtMs, verdict: "conflict", change }];
        }
        return [this.applyDocument(record, change, applyPatch(this.acceptedDocument?.document, change.patch))];
    }

    private applyDocument(
        record: StreamRecord,
        change: ChangeRecord | RestoreRecord,
        document: Result<EnvironmentDocument, PatchError | InvalidDocumentError>,
    ): DecidedRecord {
        const { offset, appendedAtMs } = record;
        if (document.isErr()) {
            return { offset, appendedAtMs, verdict: "invalid", change, detail: document.error.message };
        }
        const before = this.acceptedDocument?.document;
        this.acceptedDocument = { offset, document: document.value };
        return { offset, appendedAtMs, verdict: "accepted", change, before };
    }

    /**
     * Compare-and-append: the operator read everything up to `upTo` and nothing came between. Readers with and without
     * the lost history both accept it, so they agree again from here on.
     */
    private applyRestore(record: StreamRecord, restore: RestoreRecord): readonly DecidedRecord[] {
        const { offset, appendedAtMs } = record;
        if (restore.upTo !== offset - 1) {
            return [{ offset, appendedAtMs, verdict: "conflict", change: restore }];
        }
        const lost = this.gap?.undecided ?? [];
        const decided = this.applyDocument(record, restore, checkDocument(restore.document));
        if (decided.verdict !== "accepted") {
            return [decided];
        }
        this.gap = undefined;
        this.recordTimes = [{ offset, appendedAtMs }];
        return [...lost.map(earlier => this.resolveSettled(earlier)), decided];
    }

    private applySnapshot(record: StreamRecord, snapshot: SnapshotRecord): readonly DecidedRecord[] {
        const { offset, appendedAtMs } = record;
        const decided: DecidedRecord = { offset, appendedAtMs, verdict: "snapshot" };
        if (snapshot.upTo >= offset || snapshot.accepted > snapshot.upTo) {
            return [{ ...decided, verdict: "unreadable" }];
        }
        if (this.gap === undefined) {
            // A reader with the whole history never takes a document from a snapshot: a slow daemon may have written
            // it, and a change accepted since would be lost.
            this.recordTimes = this.recordTimes.filter(time => time.offset > snapshot.upTo);
            return [decided];
        }
        return [...this.applySnapshotAcrossGap(snapshot, this.gap, record), decided];
    }

    /**
     * A snapshot bridges the gap only if everything behind its `upTo` was read. One that a slow daemon wrote from old
     * state leaves a hole between its `upTo` and the first record still kept; an accepted change may lie in it, and
     * taking the snapshot would bring the document of before that change back into force.
     */
    private applySnapshotAcrossGap(
        snapshot: SnapshotRecord,
        gap: HistoryGap,
        record: StreamRecord,
    ): readonly DecidedRecord[] {
        const document: Result<EnvironmentDocument, InvalidDocumentError | undefined> =
            snapshot.upTo + 1 >= gap.startOffset && snapshot.accepted >= this.basis
                ? checkDocument(snapshot.document)
                : err(undefined);
        if (document.isErr()) {
            return [];
        }
        this.acceptedDocument = { offset: snapshot.accepted, document: document.value };
        const decided = this.closeGap(gap, snapshot.upTo);
        this.recordTimes.push({ offset: record.offset, appendedAtMs: record.appendedAtMs });
        return decided;
    }
}

function readChange(record: StreamRecord): ChangeRecord | RestoreRecord | undefined {
    const parsed = documentRecordSchema.safeParse(record.value);
    return parsed.success && parsed.data.type !== "snapshot" ? parsed.data : undefined;
}
