import type { Event } from "../base/event.js";
import type { StoreContact } from "../decisions/health/recordExpiryPolicy.js";
import type { Disposable } from "../base/lifecycle.js";
import type { PartRecords } from "./quarantine/partRecords.js";
import type { QuarantineRecords } from "./quarantine/quarantineRecords.js";
import type { RolloutOrder, RolloutRecords, RolloutStatus } from "./rollouts/rolloutRecords.js";
import type { VersionRecords } from "./streams/versionRecords.js";
import type { GatewayConfiguration } from "./configuration.js";

export type { StoreOutage } from "../decisions/health/recordExpiryPolicy.js";

/** A target's registration, as the target wrote it. */
export interface TargetEntry {
    /** Key of the registration; a restarted target may reuse it. */
    readonly id: string;
    readonly service: string;
    /** `IP:PORT`. */
    readonly address: string;
    readonly dataCentre: string;
    /** Version of its software; undefined when not reported. */
    readonly version: string | undefined;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Remaining time for which the target is cold, counted from when it wrote the entry; milliseconds. */
    readonly coldLeftMs: number;
    /** When the target started, by its own clock; undefined when not reported. Distinguishes restarts under one id. */
    readonly startedAtMs: number | undefined;
}

/** One change of the platform's records. */
export type FleetChange =
    | { readonly kind: "configuration"; readonly configuration: GatewayConfiguration }
    | {
          readonly kind: "target";
          readonly id: string;
          /** Undefined: the registration was removed. */
          readonly entry: TargetEntry | undefined;
          /** The store was restored from an older copy a moment ago, from which the entry may be. */
          readonly mayBeOutdated?: boolean;
      }
    /** A data centre was taken out of service, or put back into service. */
    | { readonly kind: "data-centre"; readonly dataCentre: string; readonly isOut: boolean }
    /** `order` undefined: the operators withdrew it. */
    | { readonly kind: "rollout"; readonly service: string; readonly order: RolloutOrder | undefined }
    | { readonly kind: "rollout-status"; readonly status: RolloutStatus };

/** State of the connection to the platform. */
export interface SourceHealth {
    /** Whether the last call succeeded. */
    readonly isConnected: boolean;
    /** State of the store as seen by reads of the targets' records. */
    readonly targets: StoreContact;
    /** Reads of the platform's records since the start of the process, by kind of records and outcome. */
    readonly reads: readonly StoreReadCount[];
}

/** Outcome of a read of the platform's records. */
export type StoreReadOutcome =
    | "answered"
    /** Rejected by the store's rate limit. */
    | "throttled"
    | "failed"
    /** The store had dropped changes that were not read yet; all keys are read again. */
    | "history-dropped"
    /** The store was restored from an older copy; all keys are read again. */
    | "older-copy";

/** Number of reads with the same kind of records and the same outcome. */
export interface StoreReadCount {
    readonly records: "operators" | "targets";
    readonly outcome: StoreReadOutcome;
    readonly count: number;
}

/** The platform's newest records in their original form, for transfer to a router that can't read them itself. */
export interface FleetSnapshot {
    /** `value` is base64; only the platform adapter interprets it. */
    readonly records: readonly { readonly topic: string; readonly key: string; readonly value: string }[];
}

/** Provides the platform's records: the configuration, the targets, the data centres that are out of service. */
export interface FleetSource extends Disposable {
    readonly onDidChange: Event<FleetChange>;
    /** Fires when the platform's store was restored from an older copy; the last writes may be lost. */
    readonly onDidRewind: Event<void>;
    /** Whether the configuration and the targets have been read from the platform or received from a peer. */
    readonly isUsable: boolean;
    readonly health: SourceHealth;
    /** Records of held requests, which persist when all routers stop. */
    readonly heldRequests: QuarantineRecords;
    /** Records of held prompt parts, which persist when all routers stop. */
    readonly heldParts: PartRecords;
    /** Records through which routers agree on the state of roll-outs. */
    readonly rollouts: RolloutRecords;
    /** Records of the versions that services had, which persist when all routers stop. */
    readonly versions: VersionRecords;
    /** Starts reading the platform's records. */
    start(): void;
    /** All records read from the platform; undefined before the first complete read. */
    createSnapshot(): FleetSnapshot | undefined;
    /** Applies records that a peer read, unless records were read from the platform itself. */
    applySnapshot(snapshot: FleetSnapshot): void;
}
