import type { ResultAsync } from "neverthrow";
import type { LynxarchError } from "../../base/errors.js";
import type { CancellationToken } from "../../base/cancellation.js";

/** A held request as it is kept where it outlasts all routers. */
export interface QuarantineRecord {
    readonly digest: string;
    readonly prefixHash: number;
    readonly incarnations: readonly number[];
    /** When it may be tried again. */
    readonly heldUntil: Date;
    readonly holdMs: number;
}

/** Keeps held requests in the platform's store: routers that all start at once would learn them by crashes again. */
export interface QuarantineRecords {
    /** Errors: the store is away, or holds what can't be decoded. */
    read(token: CancellationToken): ResultAsync<readonly QuarantineRecord[], LynxarchError>;
    write(record: QuarantineRecord, token: CancellationToken): ResultAsync<void, LynxarchError>;
    remove(digest: string, token: CancellationToken): ResultAsync<void, LynxarchError>;
}
