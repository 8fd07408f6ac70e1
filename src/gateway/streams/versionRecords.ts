import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../../base/cancellation.js";
import type { LynxarchError } from "../../base/errors.js";
import type { VersionRecord } from "../../decisions/versions/versionRecord.js";
import type { WriteOutcome } from "../rollouts/rolloutRecords.js";

export type { VersionRecord } from "../../decisions/versions/versionRecord.js";

/** The stored records of all services, with the end offset of the store's log. */
export interface StoredVersions {
    readonly records: readonly VersionRecord[];
    /** Services whose records can't be decoded; nothing is known of them. */
    readonly unreadableServices: readonly string[];
    /** Passed to the next conditional write. */
    readonly endOffset: number;
}

/** Stores which versions services had, in the platform's store, which serialises the writes of all routers. */
export interface VersionRecords {
    /** Without any record the result is empty. Errors: the store is unavailable. */
    read(token: CancellationToken): ResultAsync<StoredVersions, LynxarchError>;
    /** Takes effect only if nothing was written after `endOffset`. Errors: the store is unavailable; the write may take effect later. */
    write(record: VersionRecord, endOffset: number, token: CancellationToken): ResultAsync<WriteOutcome, LynxarchError>;
}
