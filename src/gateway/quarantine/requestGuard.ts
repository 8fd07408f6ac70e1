import type { AttemptOutcome } from "../attempt.js";
import type { Target } from "../target.js";
import type { Quarantine } from "./quarantine.js";
import type { RequestIdentity } from "./requestIdentity.js";

/** Requests run permits from the quarantine for one request, and reports the outcomes of its attempts to the quarantine. */
export class RequestGuard {
    private hasRunPermit = false;

    public constructor(
        private readonly quarantine: Quarantine,
        private readonly identity: RequestIdentity,
    ) {}

    /** Decides whether the request may run. {@link end} must be called afterwards. */
    public start(): "run" | "busy" | "held" {
        const permit = this.quarantine.takeRunPermit(this.identity);
        this.hasRunPermit = permit === "granted";
        return permit === "not-needed" || permit === "granted" ? "run" : permit;
    }

    /** Whether the request may be sent to a further target. */
    public get canRetry(): boolean {
        return this.hasRunPermit ? !this.quarantine.isHeld(this.identity) : this.start() === "run";
    }

    /** Reports an attempt's outcome. Resolves once the quarantine has evaluated it. */
    public async observe(outcome: AttemptOutcome, target: Target, hadOutput: boolean): Promise<void> {
        if (outcome.kind === "answered") {
            this.quarantine.observeResponse(this.identity);
        } else if (outcome.kind === "broken") {
            await this.quarantine.observeDisconnect(this.identity, target, hadOutput);
        }
    }

    /** Releases the run permit, if any, after the last attempt. */
    public end(): void {
        if (this.hasRunPermit) {
            this.hasRunPermit = false;
            this.quarantine.releaseRunPermit(this.identity);
        }
    }
}
