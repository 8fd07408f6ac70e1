/** What may be repeated of a request on a route. */
export type RequestKind =
    /** May run any number of times. */
    | "idempotent"
    /** May run once at most. */
    | "non-idempotent"
    /** A stream of events that a model engine generates; runs once unless the route is resumable. */
    | "stream";

/** A service that takes a share of a route's requests. */
export interface RouteDestination {
    readonly service: string;
    /** Relative to the other destinations of the route. */
    readonly weight: number;
}

/** One route: which requests it takes and how they are served. */
export interface RouteConfiguration {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    readonly destinations: readonly RouteDestination[];
    /** Longest time a request may be kept waiting; milliseconds. */
    readonly timeoutMs: number;
    /** Latency objective: a whole answer, or a stream's first event, counts fully within it; milliseconds. */
    readonly objectiveMs: number;
    /** Most targets that one request may be sent to. */
    readonly maxAttempts: number;
    /** 0 is the highest. */
    readonly priority: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
    /** Whether a stream may go on at another target. */
    readonly isResumable: boolean;
    /** Whether requests carry the parts of their prompt. */
    readonly hasPrompts: boolean;
    /** Longest pause between two events that is still on time; milliseconds. */
    readonly pauseObjectiveMs: number;
}

/** What a model service's engines can hold. */
export interface EngineCapacity {
    /** Requests that run in one batch. */
    readonly slots: number;
    /** Tokens that running requests and cached prompt parts share. */
    readonly cacheTokens: number;
    /** Generated tokens in one event of a stream; undefined where the operators don't say. */
    readonly tokensPerEvent: number | undefined;
    /** Size of one cached token; undefined where engines can't copy cached tokens from one another. */
    readonly bytesPerToken: number | undefined;
    /** Bandwidth of an engine's link for such copies, in bytes a millisecond. */
    readonly transferBytesPerMs: number | undefined;
}

/** A service that targets serve. */
export interface ServiceConfiguration {
    readonly name: string;
    /** Connections that one target accepts from all routers together. */
    readonly maxConnections: number;
    /** How long a target stays cold after its start; milliseconds. */
    readonly coldStartMs: number;
    /** Requests a second that a cold target bears, from all routers together. */
    readonly coldRequestsPerSecond: number;
    /** Undefined for plain services. */
    readonly engine: EngineCapacity | undefined;
}

/** A client account and the keys that name it. */
export interface AccountConfiguration {
    readonly name: string;
    readonly apiKeys: readonly string[];
    /** Overrides the route's priority. */
    readonly priority: number | undefined;
}

/** Bounds on callers. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
    /** Tokens a second that all engines give together; undefined when there is no such figure. */
    readonly tokensPerSecond: number | undefined;
}

/** The operators' configuration, whole. */
export interface GatewayConfiguration {
    /** Rises with each change, in uneven steps. */
    readonly version: number;
    readonly routes: readonly RouteConfiguration[];
    readonly services: readonly ServiceConfiguration[];
    readonly accounts: readonly AccountConfiguration[];
    readonly limits: CallerLimits;
}
