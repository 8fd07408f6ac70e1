import type { Clock } from "../base/clock.js";

/**
 * Time between two turns, as a multiple of the time that the last one took, while other work takes its share of the event loop; bounds the
 * share that turns take.
 */
const pauseFactor = 1;
/** Share of the event loop that other work takes, from which on the pauses have that length; with less they are shorter. */
const fullPauseShare = 0.2;
const minPauseMs = 1;
/** Weight of the time since the last turn. */
const shareSmoothing = 0.1;

/**
 * Connections that wait with the rest of what they have received, so that others get their share of the event loop; they go on one after
 * the other. Otherwise peers that send endlessly would take all the time of the process, and it would count as overloaded.
 */
export class ReadTurns {
    private readonly waiting = new Set<() => void>();
    private isScheduled = false;
    private endedAtMs: number;
    private activeMsAtEnd = 0;
    private otherShare = 1;

    /**
     * `settlingIterations`: event loop iterations that belong to a turn, for work that is not done while data is read. `getActiveMs`: time
     * for which the event loop has not been idle; without it, pauses always have their full length.
     */
    public constructor(
        private readonly clock: Clock,
        private readonly settlingIterations = 0,
        private readonly getActiveMs?: () => number,
    ) {
        this.endedAtMs = clock.nowMs();
    }

    /** Number of connections that wait. */
    public get size(): number {
        return this.waiting.size;
    }

    /** `resume`: continues to read from the connection. */
    public add(resume: () => void): void {
        this.waiting.add(resume);
        this.start(minPauseMs);
    }

    /** The connection has been closed, or need not wait any more. */
    public remove(resume: () => void): void {
        this.waiting.delete(resume);
    }

    private start(pauseMs: number): void {
        if (!this.isScheduled && this.waiting.size > 0) {
            this.isScheduled = true;
            setTimeout(() => this.resumeNext(), pauseMs);
        }
    }

    private resumeNext(): void {
        const startedAtMs = this.clock.nowMs();
        this.observeOtherWork(startedAtMs);
        for (const resume of this.waiting) {
            this.waiting.delete(resume);
            resume();
            break;
        }
        this.endTurn(startedAtMs, this.settlingIterations);
    }

    private endTurn(startedAtMs: number, iterations: number): void {
        if (iterations > 0) {
            setImmediate(() => this.endTurn(startedAtMs, iterations - 1));
            return;
        }
        this.isScheduled = false;
        this.endedAtMs = this.clock.nowMs();
        this.activeMsAtEnd = this.getActiveMs?.() ?? 0;
        const pauseMs = (this.endedAtMs - startedAtMs) * pauseFactor * Math.min(1, this.otherShare / fullPauseShare);
        this.start(Math.max(minPauseMs, pauseMs));
    }

    /** Updates the share of the event loop that other work took since the last turn. */
    private observeOtherWork(nowMs: number): void {
        const sinceMs = nowMs - this.endedAtMs;
        if (this.getActiveMs !== undefined && sinceMs > 0) {
            const share = Math.min(1, (this.getActiveMs() - this.activeMsAtEnd) / sinceMs);
            this.otherShare += (share - this.otherShare) * shareSmoothing;
        }
    }
}
