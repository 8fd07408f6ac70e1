import type { Random } from "../../base/random.js";

/** Consecutive failures that open the circuit. With fewer, a caller's own invalid requests would open it. */
export const failuresToOpen = 5;
/** Duration of the first pause in milliseconds; it doubles with each failed probe. */
export const initialPauseMs = 500;
/** Maximum pause in milliseconds; a target that recovers is detected within this time. */
export const maxPauseMs = 15_000;

/**
 * Stops sending work to a target that fails repeatedly, and then probes it with one request at a time.
 *
 * Load pattern: a target that fails requests immediately. It always has free slots, so it attracts the whole backlog of
 * the fleet and turns it into errors within seconds. While the circuit is open, no work is started; after the pause a
 * single probe determines whether work may be sent again. Pauses double with jitter, so that the agents of one failed
 * store do not probe at the same moment.
 */
export class CircuitBreaker {
    private failures = 0;
    private openUntilMs: number | undefined;
    private pauseMs = initialPauseMs;
    private probeId: string | undefined;
    /** The target answered endlessly: output alone does not show that it has recovered. */
    private needsSuccess = false;

    public constructor(private readonly random: Random) {}

    public get isOpen(): boolean {
        return this.openUntilMs !== undefined;
    }

    /** Earliest start of the next probe; undefined while the circuit is closed or a probe is running. */
    public get probeAtMs(): number | undefined {
        return this.probeId === undefined ? this.openUntilMs : undefined;
    }

    public canStart(nowMs: number): boolean {
        if (this.openUntilMs === undefined) {
            return true;
        }
        return this.probeId === undefined && nowMs >= this.openUntilMs;
    }

    /** Records the start of a request. While the circuit is open, this request is the probe. */
    public observeStart(id: string): void {
        if (this.openUntilMs !== undefined) {
            this.probeId = id;
        }
    }

    /**
     * The target produced its first output: work may be sent again, but only a completed request resets the failure
     * count. After an endless response only a completed request closes the circuit.
     */
    public observeFirstOutput(): void {
        if (this.needsSuccess) {
            return;
        }
        this.openUntilMs = undefined;
        this.probeId = undefined;
    }

    public observeSuccess(): void {
        this.failures = 0;
        this.pauseMs = initialPauseMs;
        this.needsSuccess = false;
        this.observeFirstOutput();
    }

    /** A request ended without information about the target's health, for example because it was cancelled. */
    public observeNeutralEnd(id: string): void {
        if (this.probeId === id) {
            this.probeId = undefined;
        }
    }

    /**
     * Records a request that failed at the target. Returns true if the failure opened the circuit. `isEndless`: the response exceeded all
     * bounds; it costs far more than a failure, so that the first one opens the circuit.
     */
    public observeFailure(id: string, nowMs: number, isEndless = false): boolean {
        this.failures = isEndless ? Math.max(failuresToOpen, this.failures + 1) : this.failures + 1;
        this.needsSuccess ||= isEndless;
        const wasOpen = this.openUntilMs !== undefined;
        // Failures of requests that were already running when the circuit opened must not extend the pause.
        if ((wasOpen && this.probeId !== id) || this.failures < failuresToOpen) {
            return false;
        }
        this.probeId = undefined;
        this.openUntilMs = nowMs + this.pauseMs * (0.5 + this.random.next() / 2);
        this.pauseMs = Math.min(maxPauseMs, this.pauseMs * 2);
        return !wasOpen;
    }
}
