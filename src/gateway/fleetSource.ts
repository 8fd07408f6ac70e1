import type { Event } from "../base/event.js";
import type { StoreContact } from "../decisions/health/recordExpiryPolicy.js";
import type { Disposable } from "../base/lifecycle.js";
import type { QuarantineRecords } from "./quarantine/quarantineRecords.js";
import type { RolloutOrder, RolloutRecords, RolloutStatus } from "./rollouts/rolloutRecords.js";
import type { GatewayConfiguration } from "./configuration.js";

export type { StoreOutage } from "../decisions/health/recordExpiryPolicy.js";

/** A target as it registered itself. */
export interface TargetEntry {
    /** Name of this incarnation's registration; a restarted target may keep it. */
    readonly id: string;
    readonly service: string;
    /** `IP:PORT`. */
    readonly address: string;
    readonly dataCentre: string;
    /** Of its software; undefined when it does not say. */
    readonly version: string | undefined;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** How much longer the target is cold, as it said when the entry was written; milliseconds. */
    readonly coldLeftMs: number;
    /** When the target started, by its own clock; undefined when it does not say. Distinguishes restarts under one id. */
    readonly startedAtMs: number | undefined;
}

/** One change of what the platform holds. */
export type FleetChange =
    | { readonly kind: "configuration"; readonly configuration: GatewayConfiguration }
    /** `entry` undefined: the registration is gone. */
    | { readonly kind: "target"; readonly id: string; readonly entry: TargetEntry | undefined }
    /** A data centre is to get no requests, or may get them again. */
    | { readonly kind: "data-centre"; readonly dataCentre: string; readonly isOut: boolean }
    /** `order` undefined: the operators took it back. */
    | { readonly kind: "rollout"; readonly service: string; readonly order: RolloutOrder | undefined }
    | { readonly kind: "rollout-status"; readonly status: RolloutStatus };

/** How the link to the platform stands. */
export interface SourceHealth {
    /** Whether the last call succeeded. */
    readonly isConnected: boolean;
    /** What is known of the store by reads of the targets' records. */
    readonly targets: StoreContact;
    /** Reads of the platform's records since the start, by whose records and how they ended. */
    readonly reads: readonly StoreReadCount[];
}

/** How a read of the platform's records ended. */
export type StoreReadOutcome =
    | "answered"
    /** Turned away for the rate of calls. */
    | "throttled"
    | "failed"
    /** Records that had not been read are gone; all keys are read again. */
    | "history-dropped"
    /** The store came back from an older copy; all keys are read again. */
    | "older-copy";

/** Reads that ended alike. */
export interface StoreReadCount {
    readonly records: "operators" | "targets";
    readonly outcome: StoreReadOutcome;
    readonly count: number;
}

/** The platform's newest records as they are, to hand over to a router that can't read them itself. */
export interface FleetSnapshot {
    /** `value` in base64; what it means is the platform adapter's matter. */
    readonly records: readonly { readonly topic: string; readonly key: string; readonly value: string }[];
}

/** Provides what the platform holds: the configuration, the targets, the data centres that are out. */
export interface FleetSource extends Disposable {
    readonly onDidChange: Event<FleetChange>;
    /** The platform's store came back from an older copy; what was written last may be lost. */
    readonly onDidRewind: Event<void>;
    /** The configuration and the targets have been read from the platform, or were taken from a peer. */
    readonly isUsable: boolean;
    readonly health: SourceHealth;
    /** Where held requests outlast all routers. */
    readonly heldRequests: QuarantineRecords;
    /** Where routers agree on how roll-outs stand. */
    readonly rollouts: RolloutRecords;
    start(): void;
    /** What was read from the platform; undefined before all of it was. */
    createSnapshot(): FleetSnapshot | undefined;
    /** Takes what a peer read, where nothing was read from the platform itself. */
    applySnapshot(snapshot: FleetSnapshot): void;
}
