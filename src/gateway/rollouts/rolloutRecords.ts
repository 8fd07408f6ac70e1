import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../../base/cancellation.js";
import type { LynxarchError } from "../../base/errors.js";
import type { RolloutOutcome, RolloutStep } from "../../decisions/rollouts/rolloutPlan.js";

/** The operators' order to move a service to targets of another version. */
export interface RolloutOrder {
    readonly service: string;
    readonly version: string;
    /** Within this time a sound version is to be complete. */
    readonly durationMs: number;
}

/** How a roll-out stands, as the platform's store holds it; the same for all routers. */
export interface RolloutStatus {
    readonly service: string;
    readonly version: string;
    readonly state: "running" | RolloutOutcome;
    /** The step of a roll-out that runs. */
    readonly step: RolloutStep;
    /** When a router first saw the order, by its wall clock. */
    readonly startedAt: Date;
    /** Why it came to this, for people. */
    readonly reason: string;
    /** Versions that earlier orders named and that must get nothing: rolled back, or replaced before they were complete. */
    readonly rejectedVersions: readonly string[];
}

/** What the store holds of a roll-out, and where its log ends. */
export interface StoredRollout {
    readonly status: RolloutStatus | undefined;
    /** For the condition of a write. */
    readonly endOffset: number;
}

/** Whether a write took effect. */
export type WriteOutcome =
    | "written"
    /** Something else was written since the offset that the write named. */
    | "superseded";

/** Keeps how roll-outs stand in the platform's store, which orders the writes of all routers. */
export interface RolloutRecords {
    /** Errors: the store is away, or holds what can't be decoded. */
    read(service: string, token: CancellationToken): ResultAsync<StoredRollout, LynxarchError>;
    /** Takes effect only if nothing was written since `endOffset`. Errors: unavailable; it may take effect later. */
    write(status: RolloutStatus, endOffset: number, token: CancellationToken): ResultAsync<WriteOutcome, LynxarchError>;
}
