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
import type { StreamVersions } from "./streams/streamVersions.js";
import type { LazyMap } from "./lazyMap.js";
import type { GatewaySettings } from "./settings.js";
import type { ShutdownDeadline } from "./shutdownDeadline.js";
import type { TargetDirectory } from "./targetDirectory.js";
import type { HeaderCodec } from "./wire.js";

/** Components and state shared by all requests. */
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
    readonly rollouts: Pick<Rollouts, "open" | "openResumption" | "observe" | "isTrusted">;
    /** Versions that began streams. */
    readonly streams: Pick<StreamVersions, "find" | "record">;
    /** Load of this router's event loop. */
    readonly load: Pick<LoadSource, "shedShare" | "loop">;
    readonly shares: AccountShares;
    readonly shutdown: ShutdownDeadline;
    /** By service name. */
    readonly retryBudgets: LazyMap<RetryBudget>;
    /** By service name. */
    readonly firstTokenModels: LazyMap<FirstTokenModel>;
    /** By service name. */
    readonly prefillShares: LazyMap<PrefillShare>;
    /** By service name. */
    readonly denials: LazyMap<DenialCache>;
    /** By service name. */
    readonly idleShares: LazyMap<IdleShare>;
    /** By route name. */
    readonly outputLengths: LazyMap<OutputLength>;
}
