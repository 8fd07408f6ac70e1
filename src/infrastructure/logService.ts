import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import type { PlatformError } from "./errors.js";

/** One record of a stream. Offsets rise by one within a stream. */
export interface LogRecord {
    readonly offset: number;
    /** When the log took the record, by the platform's clock; milliseconds since 1970. */
    readonly appendedAtMs: number;
    readonly value: unknown;
}

/** What a read returns. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Oldest offset still kept; records below it are gone. */
    readonly firstOffset: number;
    /** Offset the next appended record will get. */
    readonly endOffset: number;
}

/** The platform's append-only log. */
export interface LogService {
    /**
     * Appends a record and returns its offset.
     * Errors: unavailable (nothing is known to have happened, as the answer may be lost after the append took effect).
     */
    append(stream: string, value: unknown, token: CancellationToken): ResultAsync<number, PlatformError>;
    /** Reads from an offset; waits up to `waitMs` when there is nothing new. Errors: unavailable. */
    read(
        stream: string,
        fromOffset: number,
        waitMs: number,
        token: CancellationToken,
    ): ResultAsync<LogPage, PlatformError>;
}
