import type { Disposable } from "../base/lifecycle.js";
import { runLogged, runTaskLogged } from "../base/runLogged.js";
import type { AttemptHistory } from "./attemptHistory.js";
import type { AttemptRunner } from "./attemptRunner.js";
import type { GatewayContext } from "./gatewayContext.js";
import { computeInactivityLimit, InactivityTimer, type SilenceDetails } from "./inactivityTimer.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { ResponseRelay } from "./responseRelay.js";
import type { Target } from "./target.js";
import type { Selection, TargetFilter } from "./targetSelector.js";

/** Why a request was not moved from a silent target. */
export type MoveObstacle =
    /** It may not be sent to a further target. */
    | "last-attempt"
    | "retry-budget"
    /** No other target that is not silent can receive it. */
    | "no-target"
    /** The response at another target is expected to take longer than the silence has lasted. */
    | "expected-time";

/** Silence of a request's last target, and why the request was not moved to another one; for the log. */
export interface MoveDetails extends SilenceDetails {
    readonly moveObstacle: MoveObstacle | undefined;
}

/** What moving a request depends on. */
export interface AttemptMoverOptions {
    readonly context: Pick<GatewayContext, "clock" | "logger">;
    readonly routed: RoutedRequest;
    readonly relay: ResponseRelay;
    readonly attempts: AttemptRunner;
    readonly history: AttemptHistory;
    /** Targets that the request must not be sent to again. */
    readonly tried: Set<Target>;
    /** Whether the request may be repeated as long as it has no output. */
    readonly isRepeatable: boolean;
    /** Whether no further attempt may start. */
    readonly isOutOfTime: () => boolean;
    /** Whether a retry is left; `takeRetry` takes it. */
    hasRetry(): boolean;
    readonly takeRetry: () => boolean;
    select(isExcluded: TargetFilter): Selection | undefined;
    /** Reports the attempt to the target's owner. */
    recordGrant(selection: Selection): Selection;
}

type MoveDecision =
    | { readonly selection: Selection }
    | {
          readonly selection: undefined;
          readonly obstacle: MoveObstacle;
          /** Time after which to decide again; milliseconds, undefined if the obstacle lasts. */
          readonly retryAfterMs: number | undefined;
      };

/**
 * Moves a request from a target that sends nothing to another one. A target may be silent for a second or more and go on, so that its
 * attempt is stopped only once the other target has accepted the request.
 */
export class AttemptMover implements Disposable {
    private readonly timer: InactivityTimer;
    private obstacle: MoveObstacle | undefined;

    public constructor(private readonly options: AttemptMoverOptions) {
        const { clock, logger } = options.context;
        const requestId = options.routed.head.requestId;
        this.timer = new InactivityTimer(clock, () =>
            runLogged(logger, "moving a request failed", { requestId }, () => this.handleSilence()),
        );
    }

    public get details(): MoveDetails {
        return { ...this.timer.details, moveObstacle: this.obstacle };
    }

    /** Records that the request was written, or output; not other bytes, as a faulty target may send some that never complete an event. */
    public recordActivity(): void {
        this.stopMove();
        this.timer.recordActivity(this.options.isRepeatable ? this.limitMs : undefined);
    }

    /** The current attempt has ended and was not replaced. */
    public stop(): void {
        this.timer.stop();
        this.stopMove();
    }

    public dispose(): void {
        this.timer.dispose();
    }

    private get limitMs(): number {
        return computeInactivityLimit(this.options.routed.route, this.options.relay.isCommitted);
    }

    private handleSilence(): void {
        const { attempts } = this.options;
        attempts.current?.recordSilence();
        if (attempts.isReplacing) {
            return;
        }
        const move = this.chooseMove();
        this.obstacle = move.selection === undefined ? move.obstacle : undefined;
        if (move.selection !== undefined) {
            const selection = this.options.recordGrant(move.selection);
            runTaskLogged(this.options.context.logger, "moving a request failed", () => this.startMove(selection));
        } else if (move.retryAfterMs !== undefined) {
            this.timer.wait(move.retryAfterMs);
        }
    }

    private chooseMove(): MoveDecision {
        const { options, limitMs } = this;
        if (!this.canMove()) {
            return { selection: undefined, obstacle: "last-attempt", retryAfterMs: undefined };
        }
        if (!options.hasRetry()) {
            return { selection: undefined, obstacle: "retry-budget", retryAfterMs: limitMs };
        }
        const selection = options.select(target => target.isSilent);
        if (selection === undefined) {
            return { selection: undefined, obstacle: "no-target", retryAfterMs: limitMs };
        }
        // As long as the silence is shorter than the response at the other target would take, waiting may be cheaper.
        const remainingMs = selection.expectedMs - this.timer.silentMs;
        return remainingMs > 0
            ? { selection: undefined, obstacle: "expected-time", retryAfterMs: remainingMs }
            : { selection };
    }

    private canMove(): boolean {
        const { relay, history, routed, isRepeatable } = this.options;
        const mayRepeat = relay.isCommitted ? relay.canResume : isRepeatable;
        const hasAttempts = history.sent + 1 < routed.route.maxAttempts && !history.hasTooManyNotExecuted;
        return mayRepeat && hasAttempts && !this.options.isOutOfTime();
    }

    /** Starts an attempt at another target, which replaces the current one if that has no output until the request is accepted. */
    private async startMove(selection: Selection): Promise<void> {
        const { attempts, history, tried, isOutOfTime, takeRetry } = this.options;
        tried.add(selection.target);
        const outcome = await attempts.startReplacement(selection, () => !isOutOfTime() && takeRetry());
        if (outcome === undefined || outcome.kind === "stopped") {
            return;
        }
        history.addOutcome(selection.target.id, outcome.kind);
        if (outcome.kind === "not-run") {
            history.recordNotExecuted(outcome.reason);
        } else {
            history.recordExecuted(history.lastErrorResponse);
        }
        if (!isOutOfTime()) {
            this.handleSilence();
        }
    }

    /** The current attempt has output, or has ended: the request is not moved. */
    private stopMove(): void {
        const { attempts, history, tried } = this.options;
        const stopped = attempts.stopReplacement();
        if (stopped?.isWritten === true) {
            history.addOutcome(stopped.target.id, "stopped");
            history.recordExecuted(history.lastErrorResponse);
        } else if (stopped !== undefined) {
            tried.delete(stopped.target);
        }
    }
}
