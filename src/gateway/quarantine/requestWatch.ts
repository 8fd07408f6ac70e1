import type { AttemptOutcome } from "../attempt.js";
import type { Target } from "../target.js";
import type { Quarantine } from "./quarantine.js";
import type { RequestIdentity } from "./requestIdentity.js";

/** Reports to the quarantine how one request's attempts end. */
export class RequestWatch {
    public constructor(
        private readonly quarantine: Quarantine,
        private readonly identity: RequestIdentity,
    ) {}

    /** Whether the request may be sent to a further target. */
    public get mayRepeat(): boolean {
        return !this.quarantine.isHeld(this.identity);
    }

    /** Resolves once it is known what the outcome says of the request. */
    public async observe(outcome: AttemptOutcome, target: Target, hadOutput: boolean): Promise<void> {
        if (outcome.kind === "answered") {
            this.quarantine.observeAnswer(this.identity);
        } else if (outcome.kind === "broken") {
            await this.quarantine.observeBreak(this.identity, target, hadOutput);
        }
    }

    public end(): void {
        this.quarantine.observeEnd(this.identity);
    }
}
