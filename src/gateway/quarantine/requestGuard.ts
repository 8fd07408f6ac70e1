import type { AttemptOutcome } from "../attempt.js";
import type { Target } from "../target.js";
import type { Quarantine } from "./quarantine.js";
import type { RequestIdentity } from "./requestIdentity.js";

/** Asks the quarantine for one request, and reports to it how its attempts end. */
export class RequestGuard {
    private hasTurn = false;

    public constructor(
        private readonly quarantine: Quarantine,
        private readonly identity: RequestIdentity,
    ) {}

    /** Whether the request may run; {@link end} must follow. */
    public start(): "run" | "busy" | "held" {
        const turn = this.quarantine.takeRunPermit(this.identity);
        this.hasTurn = turn === "taken";
        return turn === "free" || turn === "taken" ? "run" : turn;
    }

    /** Whether the request may be sent to a further target. */
    public get canRetry(): boolean {
        return this.hasTurn ? !this.quarantine.isHeld(this.identity) : this.start() === "run";
    }

    /** Resolves once it is known what the outcome says of the request. */
    public async observe(outcome: AttemptOutcome, target: Target, hadOutput: boolean): Promise<void> {
        if (outcome.kind === "answered") {
            this.quarantine.observeResponse(this.identity);
        } else if (outcome.kind === "broken") {
            await this.quarantine.observeDisconnect(this.identity, target, hadOutput);
        }
    }

    /** The request's attempts are over. */
    public end(): void {
        if (this.hasTurn) {
            this.hasTurn = false;
            this.quarantine.releaseRunPermit(this.identity);
        }
    }
}
