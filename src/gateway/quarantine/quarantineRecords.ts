import type { ResultAsync } from "neverthrow";
import type { LynxarchError } from "../../base/errors.js";
import type { CancellationToken } from "../../base/cancellation.js";

/** A held request as stored outside of the routers, so that it survives their restarts. */
export interface QuarantineRecord {
    /** Digest of the request, see RequestIdentity. */
    readonly digest: string;
    /** 32-bit hash of the request's account, method and URL. */
    readonly prefixHash: number;
    /** 32-bit hashes of the target incarnations that crashed. */
    readonly incarnations: readonly number[];
    /** When the request may run again as a trial. */
    readonly heldUntil: Date;
    /** Full duration of the hold; milliseconds. */
    readonly holdMs: number;
}

/**
 * Stores held requests in the platform's store. Without it, routers that all restart at once would detect them only through further
 * crashes.
 */
export interface QuarantineRecords {
    /** Errors: the store is unavailable, or holds a record that can't be decoded. */
    read(token: CancellationToken): ResultAsync<readonly QuarantineRecord[], LynxarchError>;
    write(record: QuarantineRecord, token: CancellationToken): ResultAsync<void, LynxarchError>;
    remove(digest: string, token: CancellationToken): ResultAsync<void, LynxarchError>;
}
