import type { AttemptOutcome } from "../attempt.js";
import type { Target } from "../target.js";
import type { ServiceParts } from "./partMessage.js";
import type { Quarantine } from "./quarantine.js";
import type { RequestIdentity } from "./requestIdentity.js";

/** An attempt that has ended. */
export interface EndedAttempt {
    readonly outcome: AttemptOutcome;
    readonly target: Target;
    /** Whether the request has produced output, in this attempt or an earlier one. */
    readonly hadOutput: boolean;
    /** Time since the first output of this attempt; milliseconds, undefined without output. */
    readonly outputMs: number | undefined;
}

/** Whether a request may run; "busy": another one like it runs, "part-held": it has a prompt part that is held. */
export type GuardDecision = "run" | "busy" | "held" | "part-held";

/** Requests run permits from the quarantine for one request, and reports the outcomes of its attempts to the quarantine. */
export class RequestGuard {
    private hasRunPermit = false;
    private trial: ServiceParts | undefined;
    /** Service and fate of the last target. */
    private last: { readonly service: string; readonly hasCrashed: boolean } | undefined;

    /** `services`: destinations of the request's route. */
    public constructor(
        private readonly quarantine: Quarantine,
        private readonly identity: RequestIdentity,
        private readonly services: readonly string[],
    ) {}

    /** Decides whether the request may run. {@link end} must be called afterwards. */
    public start(): GuardDecision {
        const permit = this.quarantine.parts.takePermit(this.services, this.identity.sharedParts);
        if (permit.kind === "held") {
            return "part-held";
        }
        if (permit.kind === "busy") {
            return "busy";
        }
        this.trial = permit.kind === "trial" ? permit.trial : undefined;
        const start = this.takeRunPermit();
        if (start !== "run") {
            this.end();
        }
        return start;
    }

    /** Whether the request may be sent to a further target. */
    public get canRetry(): boolean {
        const { last, quarantine, identity } = this;
        if (last !== undefined && !quarantine.parts.canRetry(last.service, identity.sharedParts, last.hasCrashed)) {
            return false;
        }
        return this.hasRunPermit ? !quarantine.isHeld(identity) : this.takeRunPermit() === "run";
    }

    /** Reports an attempt's outcome. Resolves once the quarantine has evaluated it. */
    public async observe({ outcome, target, hadOutput, outputMs }: EndedAttempt): Promise<void> {
        const { quarantine, identity, trial } = this;
        const { service } = target.entry;
        let hasCrashed = false;
        if (outcome.kind === "answered") {
            quarantine.observeResponse(identity, target);
        } else if (outcome.kind === "broken") {
            hasCrashed = await quarantine.observeDisconnect(identity, { target, hadOutput, outputMs, trial });
        }
        this.last = { service, hasCrashed };
    }

    /** Releases the permits, if any, after the last attempt. */
    public end(): void {
        if (this.hasRunPermit) {
            this.hasRunPermit = false;
            this.quarantine.releaseRunPermit(this.identity);
        }
        if (this.trial !== undefined) {
            this.quarantine.parts.endTrial(this.trial);
            this.trial = undefined;
        }
    }

    private takeRunPermit(): "run" | "busy" | "held" {
        const permit = this.quarantine.takeRunPermit(this.identity);
        this.hasRunPermit = permit === "granted";
        return permit === "not-needed" || permit === "granted" ? "run" : permit;
    }
}
