import type { Disposable } from "../base/lifecycle.js";
import { setTimerAfterReads } from "../base/timers.js";
import type { AttemptOutcome, StopReason } from "./attempt.js";
import { TargetAttempt, type TargetAttemptContext } from "./targetAttempt.js";
import type { Selection } from "./targetSelector.js";

/** Receives the progress of the current attempt. */
export interface AttemptRunnerListener {
    /** The attempt counts at its target, or has replaced another one. */
    handleStarted(attempt: TargetAttempt): void;
    handleWritten(attempt: TargetAttempt): void;
    handleOutput(attempt: TargetAttempt): void;
}

/**
 * Time after which a target that has not refused a request counts as having accepted it; targets refuse within milliseconds. It bounds how
 * long two targets may work on a request. Milliseconds.
 */
const acceptanceMs = 150;

/**
 * Runs the attempts of one request. An attempt that is to replace the current one does so, and the current one is stopped, only once its
 * target has accepted the request.
 */
export class AttemptRunner {
    private currentAttempt: TargetAttempt | undefined;
    private replacement: TargetAttempt | undefined;
    private acceptanceTimer: Disposable | undefined;
    private count = 0;

    public constructor(
        private readonly options: TargetAttemptContext,
        private readonly listener: AttemptRunnerListener,
    ) {}

    /** The attempt that has been started last, or that has replaced it; undefined before the first one. */
    public get current(): TargetAttempt | undefined {
        return this.currentAttempt;
    }

    /** The attempt that has replaced this one; undefined if this one is the last. */
    public findSuccessor(attempt: TargetAttempt): TargetAttempt | undefined {
        return attempt === this.currentAttempt ? undefined : this.currentAttempt;
    }

    /** Whether there is an attempt that may replace the current one. */
    public get isReplacing(): boolean {
        return this.replacement !== undefined;
    }

    /** Whether the current attempt has been written to its target, which may have executed it. */
    public get isWritten(): boolean {
        return this.currentAttempt?.isWritten === true;
    }

    /** Starts an attempt after the one before has ended. */
    public start(selection: Selection): TargetAttempt {
        const attempt = this.createAttempt(selection, () => true);
        this.currentAttempt = attempt;
        return attempt;
    }

    /**
     * Starts an attempt that replaces the current one. `canWrite`: called once its connection is established; if it returns false, nothing
     * is written and the current attempt goes on. Resolves to the outcome of an attempt that replaced nothing, else to undefined.
     */
    public async startReplacement(selection: Selection, canWrite: () => boolean): Promise<AttemptOutcome | undefined> {
        const attempt = this.createAttempt(selection, () => this.replacement === attempt && canWrite());
        this.replacement = attempt;
        try {
            const outcome = await attempt.run();
            return this.currentAttempt === attempt ? undefined : outcome;
        } catch (error) {
            if (this.currentAttempt !== attempt) {
                attempt.cancel();
            }
            throw error;
        } finally {
            if (this.replacement === attempt) {
                this.removeReplacement();
            }
        }
    }

    /** Ends the attempt that was to replace the current one, if any, and returns it. */
    public stopReplacement(): TargetAttempt | undefined {
        const { replacement } = this;
        this.removeReplacement();
        replacement?.stop("stopping");
        return replacement;
    }

    public stop(reason: StopReason): void {
        this.stopReplacement();
        this.currentAttempt?.stop(reason);
    }

    /** Ends the attempts after an exception, and gives back what they hold. */
    public cancel(): void {
        this.replacement?.cancel();
        this.removeReplacement();
        this.currentAttempt?.cancel();
    }

    private removeReplacement(): void {
        this.acceptanceTimer?.dispose();
        this.replacement = undefined;
    }

    /** Stops the current attempt in favour of its replacement. */
    private promoteReplacement(attempt: TargetAttempt): void {
        if (attempt !== this.replacement) {
            return;
        }
        this.removeReplacement();
        this.currentAttempt?.stop("silent");
        this.currentAttempt = attempt;
        this.listener.handleStarted(attempt);
        this.listener.handleWritten(attempt);
    }

    private handleWritten(attempt: TargetAttempt): void {
        if (attempt === this.currentAttempt) {
            this.listener.handleWritten(attempt);
        } else {
            this.acceptanceTimer = setTimerAfterReads(acceptanceMs, () => this.promoteReplacement(attempt));
        }
    }

    private createAttempt(selection: Selection, canWrite: () => boolean): TargetAttempt {
        const { caller } = this.options;
        return new TargetAttempt(this.options, selection, ++this.count, {
            canWrite,
            handleStarted: attempt => {
                if (attempt === this.currentAttempt) {
                    this.listener.handleStarted(attempt);
                }
            },
            handleWritten: attempt => this.handleWritten(attempt),
            handleAccepted: attempt => this.promoteReplacement(attempt),
            isRelayed: attempt => attempt === this.currentAttempt,
            handleBody: (attempt, body) => {
                if (attempt === this.currentAttempt) {
                    caller.setBody(body);
                }
            },
            handleOutput: attempt => this.listener.handleOutput(attempt),
        });
    }
}
