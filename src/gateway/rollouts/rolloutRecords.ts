import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../../base/cancellation.js";
import type { LynxarchError } from "../../base/errors.js";
import type { RolloutOutcome, RolloutStep } from "../../decisions/rollouts/rolloutPlan.js";

/** An operator's order to move a service to another version of its targets. */
export interface RolloutOrder {
    readonly service: string;
    readonly version: string;
    /** Time within which the roll-out of a sound version must be complete; milliseconds. */
    readonly durationMs: number;
}

/** Status of a roll-out as held by the platform's store; shared by all routers. */
export interface RolloutStatus {
    readonly service: string;
    readonly version: string;
    readonly state: "running" | RolloutOutcome;
    /** The current step of a running roll-out; the last one after it has ended. */
    readonly step: RolloutStep;
    /** Wall-clock time at which the router that wrote the first status, or one that reported to it, first saw the order. */
    readonly startedAt: Date;
    /** Human-readable reason for the state and step. */
    readonly reason: string;
    /** Versions from earlier orders that must not receive requests: rolled back, or replaced before their roll-out was complete. */
    readonly rejectedVersions: readonly string[];
}

/** Stored status of a roll-out, with the end offset of the store's log. */
export interface StoredRollout {
    readonly status: RolloutStatus | undefined;
    /** Passed to the next conditional write. */
    readonly endOffset: number;
}

/** Result of a conditional write. */
export type WriteOutcome =
    | "written"
    /** Another record was written after the given end offset; this write had no effect. */
    | "superseded";

/** Reads and writes the status of roll-outs in the platform's store, which serialises the writes of all routers. */
export interface RolloutRecords {
    /** Errors: the store is unavailable, or its records can't be decoded. */
    read(service: string, token: CancellationToken): ResultAsync<StoredRollout, LynxarchError>;
    /** Takes effect only if nothing was written after `endOffset`. Errors: the store is unavailable; the write may take effect later. */
    write(status: RolloutStatus, endOffset: number, token: CancellationToken): ResultAsync<WriteOutcome, LynxarchError>;
}
