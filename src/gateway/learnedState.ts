import { DenialCache } from "../decisions/admission/denialCache.js";
import { FirstTokenModel } from "../decisions/placement/firstTokenModel.js";
import { IdleShare } from "../decisions/shares/idleShare.js";
import { OutputLength } from "../decisions/shares/outputLength.js";
import type { GatewayContext } from "./gatewayContext.js";
import { createPrefillShares } from "./grants/createGrants.js";
import type { GrantSettings } from "./grants/spareCapacity.js";
import { LazyMap } from "./lazyMap.js";

/** Estimates that a router learns from responses and replies; all start empty with the process. */
export type LearnedState = Pick<
    GatewayContext,
    "firstTokenModels" | "prefillShares" | "denials" | "outputLengths" | "idleShares"
>;

/** Creates the estimates of a router that has just started. */
export function createLearnedState(settings: GrantSettings): LearnedState {
    return {
        firstTokenModels: new LazyMap(() => new FirstTokenModel()),
        prefillShares: createPrefillShares(settings),
        denials: new LazyMap(() => new DenialCache()),
        outputLengths: new LazyMap(() => new OutputLength()),
        idleShares: new LazyMap(() => new IdleShare()),
    };
}
