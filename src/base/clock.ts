/** Time as an interface, so that tests and benchmarks decide how it passes. */
export interface Clock {
    /** Milliseconds on a monotonic scale; the zero point differs between processes. */
    nowMs(): number;
    /** Wall-clock time; may jump, so it never measures a duration. */
    nowDate(): Date;
}

/** The machine's own clocks. */
export class SystemClock implements Clock {
    public nowMs(): number {
        return performance.now();
    }

    public nowDate(): Date {
        return new Date();
    }
}

/** A clock that moves only when told to. */
export class ManualClock implements Clock {
    public constructor(
        private elapsedMs = 0,
        private readonly origin = new Date("2026-01-01T00:00:00Z"),
    ) {}

    public nowMs(): number {
        return this.elapsedMs;
    }

    public nowDate(): Date {
        return new Date(this.origin.getTime() + this.elapsedMs);
    }

    /** Moves time forward by `ms` milliseconds. */
    public advance(ms: number): void {
        this.elapsedMs += ms;
    }
}
