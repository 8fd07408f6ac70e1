import type { Attempt, StopReason } from "./attempt.js";

/** The attempt in progress of a request, with what it holds until it ends. */
export class CurrentAttempt {
    private attempt: Attempt | undefined;
    private release: (() => void) | undefined;
    private written = false;

    /** Whether the last attempt has been written to its target, which may have executed it; until the next one is opened. */
    public get isWritten(): boolean {
        return this.written;
    }

    /** Begins an attempt, or its next stage. `release` gives back what it holds: its grant, later its counts at the target. */
    public open(release: () => void): void {
        this.written = false;
        this.release = release;
    }

    public start(attempt: Attempt): void {
        this.attempt = attempt;
    }

    public recordWritten(): void {
        this.written = true;
    }

    public stop(reason: StopReason): void {
        this.attempt?.stop(reason);
    }

    /** Ends the attempt, which holds nothing any more. */
    public close(): void {
        this.attempt = undefined;
        this.release = undefined;
    }

    /** Ends an attempt that failed with an exception, and gives back what it holds. */
    public cancel(): void {
        const { attempt, release } = this;
        this.close();
        attempt?.stop("stopping");
        release?.();
    }
}
