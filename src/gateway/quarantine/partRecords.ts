import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../../base/cancellation.js";
import type { LynxarchError } from "../../base/errors.js";

/** Held prompt parts as stored outside of the routers, so that the hold survives their restarts. */
export interface PartRecord {
    readonly service: string;
    /** Requests with all of these parts are held. */
    readonly parts: readonly string[];
    /** When a request with the parts may run as a trial. */
    readonly heldUntil: Date;
    /** Full duration of the hold; milliseconds. */
    readonly holdMs: number;
}

/** Stores held parts in the platform's store. Without it, routers that all restart at once would detect them only through further crashes. */
export interface PartRecords {
    /** Errors: the store is unavailable. */
    read(token: CancellationToken): ResultAsync<readonly PartRecord[], LynxarchError>;
    write(record: PartRecord, token: CancellationToken): ResultAsync<void, LynxarchError>;
    remove(record: Pick<PartRecord, "service" | "parts">, token: CancellationToken): ResultAsync<void, LynxarchError>;
}
