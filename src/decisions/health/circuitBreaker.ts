import type { Random } from "../../base/random.js";

/** Failures in a row that open the circuit: fewer would open it on a caller's own bad requests. */
export const failuresToOpen = 5;
/** First pause; milliseconds. Doubles with each failed probe. */
export const initialPauseMs = 500;
/** Longest pause; a target that comes back is found again within this time. */
export const maxPauseMs = 15_000;

/**
 * Stops sending work to a target that fails again and again, and tries it again with one request at a time.
 *
 * Load pattern: a target that fails at once. It always has free slots, so it draws the fleet's whole backlog and turns
 * it into errors within seconds. Open, the circuit starts nothing; after the pause one probe tells whether
 * work may flow again. Pauses double with jitter, so that the agents of one failed store do not probe in step.
 */
export class CircuitBreaker {
    private failures = 0;
    private openUntilMs: number | undefined;
    private pauseMs = initialPauseMs;
    private probeId: string | undefined;

    public constructor(private readonly random: Random) {}

    public get isOpen(): boolean {
        return this.openUntilMs !== undefined;
    }

    /** When the next probe may start; undefined while closed or while a probe runs. */
    public get probeAtMs(): number | undefined {
        return this.probeId === undefined ? this.openUntilMs : undefined;
    }

    public canStart(nowMs: number): boolean {
        if (this.openUntilMs === undefined) {
            return true;
        }
        return this.probeId === undefined && nowMs >= this.openUntilMs;
    }

    /** Notes a start; while open it is the probe. */
    public observeStart(id: string): void {
        if (this.openUntilMs !== undefined) {
            this.probeId = id;
        }
    }

    /** The target gave its first output: work may flow, but only a completed request clears the count of failures. */
    public observeFirstOutput(): void {
        this.openUntilMs = undefined;
        this.probeId = undefined;
    }

    public observeSuccess(): void {
        this.failures = 0;
        this.pauseMs = initialPauseMs;
        this.observeFirstOutput();
    }

    /** A request ended without telling anything of the target, such as a cancelled one. */
    public observeNeutralEnd(id: string): void {
        if (this.probeId === id) {
            this.probeId = undefined;
        }
    }

    /** A request failed at the target; true when this opened the circuit. */
    public observeFailure(id: string, nowMs: number): boolean {
        this.failures += 1;
        const wasOpen = this.openUntilMs !== undefined;
        // Failures of requests that were under way when the circuit opened must not lengthen the pause.
        if ((wasOpen && this.probeId !== id) || this.failures < failuresToOpen) {
            return false;
        }
        this.probeId = undefined;
        this.openUntilMs = nowMs + this.pauseMs * (0.5 + this.random.next() / 2);
        this.pauseMs = Math.min(maxPauseMs, this.pauseMs * 2);
        return !wasOpen;
    }
}
