import type { RequestStatistics } from "./accountStatistics.js";
import type { RouteConfiguration } from "./configuration.js";
import type { RequestIdentity } from "./quarantine/requestIdentity.js";
import type { RequestHead } from "./wire.js";

/** A request that has been read, with its route and account. */
export interface RoutedRequest {
    readonly head: RequestHead;
    readonly route: RouteConfiguration;
    readonly account: string | undefined;
    /** Path with an optional query. */
    readonly path: string;
    readonly body: Buffer | undefined;
    readonly identity: RequestIdentity;
    /** Monotonic time of the request's arrival; milliseconds. */
    readonly arrivedAtMs: number;
    /** Counts the request's stages in the statistics of its account. */
    readonly figures: RequestStatistics;
}
