/** The durations on which at-most-once rests; milliseconds. docs/design/at-most-once.md gives the reasons. */
export interface KeyTiming {
    /** How long a home is the authority after a read of the log that still showed it as the home. */
    readonly leaseMs: number;
    /** Furthest apart that the wall clocks of callers, VMs and the platform may be. */
    readonly maxClockSkewMs: number;
    /** How long a key is remembered after its run ended, and within which a caller may repeat it. */
    readonly retentionMs: number;
    /** How long after its registration a home starts no caller-chosen key, so that a whole fleet can start at once. */
    readonly settleMs: number;
    /** How far the dates of two records in one stream may be out of step with real time. */
    readonly logSlackMs: number;
    /** Longest life of an issued key; shorter than the retention. */
    readonly issuedLifetimeMs: number;
}

/** What the daemons use. */
export const defaultKeyTiming: KeyTiming = {
    leaseMs: 10_000,
    maxClockSkewMs: 30_000,
    retentionMs: 600_000,
    settleMs: 8_000,
    logSlackMs: 1_000,
    issuedLifetimeMs: 300_000,
};

/** One instant on both scales of a process. */
export interface Instant {
    /** Monotonic; for durations. */
    readonly nowMs: number;
    /** Milliseconds since 1970; for comparison with dates that came from elsewhere. */
    readonly wallMs: number;
}
