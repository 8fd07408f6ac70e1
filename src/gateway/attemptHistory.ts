import type { NotExecutedReason } from "./attempt.js";
import type { StoredResponse } from "./responseRelay.js";

/** Maximum number of attempts that ended without execution. */
const maxNotExecutedAttempts = 4;

/** How the attempts of one request have ended so far. */
export class AttemptHistory {
    private sentCount = 0;
    private notExecutedCount = 0;
    private isExecutionPossible = false;
    private errorResponse: StoredResponse | undefined;
    private readonly outcomes: string[] = [];

    /** Number of attempts that reached a target. */
    public get sent(): number {
        return this.sentCount;
    }

    /** Whether an attempt may have been executed; until then the caller can be told that the request was not executed. */
    public get mayHaveBeenExecuted(): boolean {
        return this.isExecutionPossible;
    }

    /** Error response of the last target, kept while the request is retried. */
    public get lastErrorResponse(): StoredResponse | undefined {
        return this.errorResponse;
    }

    /** Each attempt's target and the kind of its outcome, for the log. */
    public get tried(): readonly string[] {
        return this.outcomes;
    }

    /** Whether too many attempts ended without execution for another one. */
    public get hasTooManyNotExecuted(): boolean {
        return this.notExecutedCount >= maxNotExecutedAttempts;
    }

    public addOutcome(targetId: string, kind: string): void {
        this.outcomes.push(`${targetId}:${kind}`);
    }

    public recordNotExecuted(reason: NotExecutedReason): void {
        this.notExecutedCount += 1;
        this.sentCount += reason === "refused" ? 1 : 0;
    }

    /** Records an attempt that the target may have executed. `errorResponse`: the target's response, if it was an error. */
    public recordExecuted(errorResponse: StoredResponse | undefined): void {
        this.sentCount += 1;
        this.isExecutionPossible = true;
        this.errorResponse = errorResponse;
    }
}
