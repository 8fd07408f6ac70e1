import type { RequestStatistics } from "./accountStatistics.js";
import type { RouteConfiguration } from "./configuration.js";
import type { RequestIdentity } from "./quarantine/requestIdentity.js";
import type { RequestHead } from "./wire.js";

/** A request that has been read, found its route and its account. */
export interface RoutedRequest {
    readonly head: RequestHead;
    readonly route: RouteConfiguration;
    readonly account: string | undefined;
    readonly body: Buffer | undefined;
    readonly identity: RequestIdentity;
    /** Monotonic time of its arrival. */
    readonly arrivedAtMs: number;
    /** Counts what becomes of it with its account. */
    readonly figures: RequestStatistics;
}
