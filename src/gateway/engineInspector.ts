import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import { LynxarchError } from "../base/errors.js";
import type { PromptPart, TargetSignals } from "./wire.js";

/** An engine did not list the parts that it keeps. */
export class CachedPartListError extends LynxarchError {
    public readonly code = "engine-list-unavailable";
}

/** An engine's answer about the parts of prompts that it keeps. */
export interface CachedPartList extends TargetSignals {
    /** Empty where the engine turned the call away. */
    readonly parts: readonly PromptPart[];
}

/** Asks a model engine about itself. */
export interface EngineInspector {
    /** Parts of prompts that it keeps now. Errors: no answer in time, or one of another form. */
    listCachedParts(address: string, token: CancellationToken): ResultAsync<CachedPartList, CachedPartListError>;
}
