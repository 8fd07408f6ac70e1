import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import { LynxarchError } from "../base/errors.js";
import type { PromptPart, TargetSignals } from "./wire.js";

/** An engine did not list its cached prompt parts. */
export class CachedPartListError extends LynxarchError {
    public readonly code = "engine-list-unavailable";
}

/** An engine's response to a query for its cached prompt parts. */
export interface CachedPartList extends TargetSignals {
    /** Empty where the engine rejected the query. */
    readonly parts: readonly PromptPart[];
}

/** Queries the state of model engines. */
export interface EngineInspector {
    /** Lists the prompt parts that the engine has cached. Errors: no response in time, or a malformed one. */
    listCachedParts(address: string, token: CancellationToken): ResultAsync<CachedPartList, CachedPartListError>;
}
