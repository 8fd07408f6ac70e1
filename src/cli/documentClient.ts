import { isDeepStrictEqual } from "node:util";
import { err, ok, type Result } from "neverthrow";
import { v7 as createUuid } from "uuid";
import type { CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import {
    formatDocumentStream,
    type ChangeRecord,
    type PatchOperation,
    type RestoreRecord,
} from "../document/change.js";
import { checkDocument } from "../document/parseDocument.js";
import { comparePatch } from "../document/patch.js";
import { DocumentState, type DecidedRecord } from "../document/documentState.js";
import type { AcceptedDocument, EnvironmentDocument } from "../document/schema.js";
import type { LogService } from "../infrastructure/logService.js";
import type { Sleep } from "../base/sleep.js";
import {
    CommandFailedError,
    ConflictError,
    OutcomeUnknownError,
    UnavailableError,
    type CliError,
} from "./cliErrors.js";

/** What a {@link DocumentClient} needs. */
export interface DocumentClientOptions {
    readonly environment: string;
    readonly log: LogService;
    readonly clock: Clock;
    readonly sleep: Sleep;
    readonly token: CancellationToken;
    readonly author: string;
    /** How long to try while the platform does not answer; milliseconds. */
    readonly giveUpAfterMs: number;
}

/** A change that is in force in the log's history. */
export interface AppliedChange {
    readonly id: string;
    readonly offset: number;
    readonly patch: readonly PatchOperation[];
    readonly before: EnvironmentDocument | undefined;
}

/** Where a promoted document comes from. */
export type PromotedFrom = ChangeRecord["promotedFrom"];

const retryMs = 300;

/** An operator's view of one environment's document: reads the log and appends changes to it. */
export class DocumentClient {
    private readonly state = new DocumentState();
    private readonly decided: DecidedRecord[] = [];
    private readonly stream: string;

    public constructor(private readonly options: DocumentClientOptions) {
        this.stream = formatDocumentStream(options.environment);
    }

    /** The accepted document as of the last read. */
    public get accepted(): AcceptedDocument | undefined {
        return this.state.accepted;
    }

    /** Whether the log's records suffice to say what is accepted. */
    public get isHistoryKnown(): boolean {
        return this.state.isHistoryKnown;
    }

    /** Every retained record and what became of it, as of the last read. */
    public get history(): readonly DecidedRecord[] {
        return this.decided;
    }

    /** Whether the accepted document equals `next`. */
    public isEqual(next: EnvironmentDocument): boolean {
        return isDeepStrictEqual(this.accepted?.document, next);
    }

    /** Reads the log to its end. Errors: platform unavailable. */
    public async read(): Promise<Result<void, UnavailableError>> {
        const { clock, giveUpAfterMs } = this.options;
        const giveUpAtMs = clock.nowMs() + giveUpAfterMs;
        return this.readUntil(giveUpAtMs);
    }

    /** Like {@link read}, for commands that need a document. Errors: unavailable; history lost; no document yet. */
    public async readAccepted(): Promise<Result<AcceptedDocument, CliError>> {
        return (await this.readKnown()).andThen(() =>
            this.accepted === undefined
                ? err(new CommandFailedError(`${this.options.environment} has no document yet`))
                : ok(this.accepted),
        );
    }

    /** Like {@link read}. Errors: unavailable; history lost. */
    public async readKnown(): Promise<Result<void, CliError>> {
        return (await this.read()).andThen(() =>
            this.isHistoryKnown ? ok(undefined) : err(this.describeLostHistory()),
        );
    }

    /**
     * Appends the change from the document last read to `next`. Errors: unavailable with the outcome unknown; conflict
     * (another change came first, nothing was changed); failed.
     */
    public async append(
        next: EnvironmentDocument,
        promotedFrom?: PromotedFrom,
    ): Promise<Result<AppliedChange, CliError>> {
        const checked = checkDocument(next);
        if (checked.isErr()) {
            return err(new CommandFailedError(checked.error.message));
        }
        const before = this.accepted?.document;
        const patch = comparePatch(before, next);
        if (patch.isErr()) {
            return err(new CommandFailedError(patch.error.message));
        }
        const id = createUuid();
        const { author } = this.options;
        const basis = this.state.basis;
        const change: ChangeRecord = { type: "change", id, basis, patch: patch.value, author, promotedFrom };
        return (await this.appendUntilDecided(change)).map(offset => ({ id, offset, patch: patch.value, before }));
    }

    /** Puts a whole document in force on a log whose history is lost. Errors: as for {@link append}. */
    public async appendRestore(document: EnvironmentDocument): Promise<Result<AppliedChange, CliError>> {
        const id = createUuid();
        const upTo = this.state.nextOffset - 1;
        const record: RestoreRecord = { type: "restore", id, upTo, document, author: this.options.author };
        const decided = await this.appendUntilDecided(record);
        return decided.map(offset => ({ id, offset, patch: [], before: undefined }));
    }

    /**
     * Appends a record until the log shows what became of it, and returns its offset. An answer can be lost after the
     * append took effect, or the append may land long after we gave up on its answer. So only the log counts: the very
     * same record is appended again until it shows. Repeats are harmless, as its basis fits at most once.
     */
    private async appendUntilDecided(record: ChangeRecord | RestoreRecord): Promise<Result<number, CliError>> {
        const { clock, log, token, sleep, giveUpAfterMs } = this.options;
        const giveUpAtMs = clock.nowMs() + giveUpAfterMs;
        while (!token.isCancelled && clock.nowMs() < giveUpAtMs) {
            await log.append(this.stream, record, token);
            const read = await this.readUntil(giveUpAtMs);
            const outcome = read.isOk() ? this.findOutcome(record.id) : undefined;
            if (outcome !== undefined) {
                return outcome;
            }
            // Records that came before it were dropped unread: no reader can judge it now, and more copies change nothing.
            if (read.isOk() && !this.isHistoryKnown) {
                break;
            }
            await sleep(retryMs, token);
        }
        return err(new OutcomeUnknownError(record.id));
    }

    private findOutcome(id: string): Result<number, CliError> | undefined {
        const own = this.decided.filter(record => record.change?.id === id);
        const accepted = own.find(record => record.verdict === "accepted");
        if (accepted !== undefined) {
            return ok(accepted.offset);
        }
        const refused = own.at(0);
        switch (refused?.verdict) {
            case undefined:
                return undefined;
            case "conflict":
                return err(this.describeConflict(refused));
            case "invalid":
                return err(new CommandFailedError(`the change was refused: ${refused.detail}`));
            default:
                return err(new OutcomeUnknownError(id));
        }
    }

    private describeConflict(refused: DecidedRecord): ConflictError {
        const winner = this.decided.filter(r => r.verdict === "accepted" && r.offset < refused.offset).at(-1);
        const who = winner?.change === undefined ? "" : ` by ${winner.change.author}`;
        return new ConflictError(
            `another change came first (offset ${winner?.offset ?? this.state.basis}${who}); nothing was changed`,
        );
    }

    private describeLostHistory(): CommandFailedError {
        return new CommandFailedError(
            `the log of ${this.options.environment} no longer holds the records that say which document is in force; ` +
                `see "document restore" in docs/CLI.md`,
        );
    }

    private async readUntil(giveUpAtMs: number): Promise<Result<void, UnavailableError>> {
        const { clock, log, token, sleep } = this.options;
        for (;;) {
            const page = await log.read(this.stream, this.state.nextOffset, 0, token);
            if (page.isOk()) {
                this.decided.push(...this.state.applyPage(page.value));
                if (this.state.nextOffset >= page.value.endOffset) {
                    return ok(undefined);
                }
            } else if (token.isCancelled || clock.nowMs() >= giveUpAtMs) {
                return err(new UnavailableError(`the platform's log does not answer: ${page.error.message}`));
            } else {
                await sleep(retryMs, token);
            }
        }
    }
}
