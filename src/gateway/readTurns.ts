import type { Clock } from "../base/clock.js";

/** Time between two turns, as a multiple of the time that the last one took; bounds the share of the event loop that turns take. */
const pauseFactor = 1;
const minPauseMs = 1;

/**
 * Connections that wait with the rest of what they have received, so that others get their share of the event loop; they go on one after
 * the other. Otherwise targets that send endlessly would take all the time of the process, and it would count as overloaded.
 */
export class ReadTurns {
    private readonly waiting: (() => void)[] = [];
    private isScheduled = false;

    public constructor(private readonly clock: Clock) {}

    /** `resume`: continues to read from the connection. */
    public add(resume: () => void): void {
        this.waiting.push(resume);
        this.start(minPauseMs);
    }

    private start(pauseMs: number): void {
        if (!this.isScheduled && this.waiting.length > 0) {
            this.isScheduled = true;
            setTimeout(() => this.resumeNext(), pauseMs);
        }
    }

    private resumeNext(): void {
        const startedAtMs = this.clock.nowMs();
        this.waiting.shift()?.();
        this.isScheduled = false;
        this.start(Math.max(minPauseMs, (this.clock.nowMs() - startedAtMs) * pauseFactor));
    }
}
