/** Durations in milliseconds on which at-most-once execution depends; docs/design/at-most-once.md gives the reasons. */
export interface KeyTiming {
    /** How long an owner may start requests, from the start of the last log read that confirmed its ownership. */
    readonly leaseMs: number;
    /** Maximum difference between any two wall clocks of callers, VMs and the platform. */
    readonly maxClockSkewMs: number;
    /** How long a table keeps a key after its run ended; a caller may repeat the request within this time. */
    readonly retentionMs: number;
    /**
     * Settling time: how long after its registration an agent starts no caller-chosen key. Because of this wait, agents
     * of a fleet that starts all at once need not be counted as each other's earlier owners.
     */
    readonly settleMs: number;
    /** Maximum error of the difference between the dates of two records in one stream, compared with real time. */
    readonly logSlackMs: number;
    /** Maximum lifetime of an issued key; shorter than the retention. */
    readonly issuedLifetimeMs: number;
}

/** Durations that the daemons use. */
export const defaultKeyTiming: KeyTiming = {
    leaseMs: 10_000,
    maxClockSkewMs: 30_000,
    retentionMs: 600_000,
    settleMs: 8_000,
    logSlackMs: 1_000,
    issuedLifetimeMs: 300_000,
};

/** One instant on both clocks of a process. */
export interface Instant {
    /** Monotonic clock in milliseconds; for durations. */
    readonly nowMs: number;
    /** Wall clock in milliseconds since 1970; for comparison with dates from other processes. */
    readonly wallMs: number;
}
