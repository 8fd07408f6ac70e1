import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import { LynxarchError } from "../base/errors.js";
import type { PromptPart } from "./wire.js";

/** An engine did not tell what it holds. */
export class EngineListError extends LynxarchError {
    public readonly code = "engine-list-unavailable";
}

/** Asks a model engine about itself. */
export interface EngineInspector {
    /** Parts of prompts that it keeps now. Errors: no answer in time, or one of another form. */
    listHeldParts(address: string, token: CancellationToken): ResultAsync<readonly PromptPart[], EngineListError>;
}
