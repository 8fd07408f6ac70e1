import type { Clock } from "../base/clock.js";
import type { Logger } from "../base/log.js";
import type { Random } from "../base/random.js";
import type { DenialCache } from "../decisions/admission/denialCache.js";
import type { PrefillShare } from "../decisions/admission/prefillShare.js";
import type { AccountShares } from "../decisions/shares/accountShares.js";
import type { FirstTokenModel } from "../decisions/placement/firstTokenModel.js";
import type { IdleShare } from "../decisions/shares/idleShare.js";
import type { OutputLength } from "../decisions/shares/outputLength.js";
import type { RetryBudget } from "../decisions/retries/retryBudget.js";
import type { ConfigurationHolder } from "./configurationHolder.js";
import type { GrantClient } from "./grants/grantClient.js";
import type { LoadSource } from "./loadMonitor.js";
import type { PeerView } from "./peers/peerView.js";
import type { Quarantine } from "./quarantine/quarantine.js";
import type { Rollouts } from "./rollouts/rollouts.js";
import type { LazyMap } from "./lazyMap.js";
import type { GatewaySettings } from "./settings.js";
import type { TargetDirectory } from "./targetDirectory.js";
import type { HeaderCodec } from "./wire.js";

/** What the handling of a request draws on. */
export interface GatewayContext {
    readonly settings: GatewaySettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly codec: HeaderCodec;
    readonly configuration: ConfigurationHolder;
    readonly directory: TargetDirectory;
    readonly peers: PeerView;
    readonly grants: GrantClient;
    readonly quarantine: Quarantine;
    readonly rollouts: Pick<Rollouts, "open" | "observe" | "isTrusted">;
    /** How this router keeps up. */
    readonly load: Pick<LoadSource, "shedShare" | "loop">;
    readonly shares: AccountShares;
    /** Per service. */
    readonly retryBudgets: LazyMap<RetryBudget>;
    /** Per service. */
    readonly firstTokenModels: LazyMap<FirstTokenModel>;
    /** Per service. */
    readonly prefillShares: LazyMap<PrefillShare>;
    /** Per service. */
    readonly denials: LazyMap<DenialCache>;
    /** Per service. */
    readonly idleShares: LazyMap<IdleShare>;
    /** Per route. */
    readonly outputLengths: LazyMap<OutputLength>;
}
