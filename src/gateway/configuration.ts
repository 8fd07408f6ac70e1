/** How often a request on a route may be executed. */
export type RequestKind =
    /** May be executed any number of times. */
    | "idempotent"
    /** May be executed at most once. */
    | "non-idempotent"
    /** A stream of events that a model engine generates; executed at most once unless the route is resumable. */
    | "stream";

/** A service that receives a part of a route's requests. */
export interface RouteDestination {
    readonly service: string;
    /** Weight relative to the other destinations of the route. */
    readonly weight: number;
}

/** One route: which requests it matches and how they are served. */
export interface RouteConfiguration {
    readonly name: string;
    readonly host: string;
    /** Starts and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    readonly destinations: readonly RouteDestination[];
    /** Maximum time that a request may wait; milliseconds. */
    readonly timeoutMs: number;
    /** Latency objective for a complete response or the first event of a stream; milliseconds. */
    readonly objectiveMs: number;
    /** Maximum number of targets that one request may be sent to. */
    readonly maxAttempts: number;
    /** 0 is the highest. */
    readonly priority: number;
    /** Whether requests need no API key. */
    readonly isPublic: boolean;
    /** Whether a stream may be continued at another target. */
    readonly isResumable: boolean;
    /** Whether requests list the parts of their prompt. */
    readonly hasPrompts: boolean;
    /** Objective for the pause between two events of a stream; milliseconds. */
    readonly pauseObjectiveMs: number;
}

/** Capacity of each engine of a model service. */
export interface EngineCapacity {
    /** Requests that an engine runs in one batch. */
    readonly slots: number;
    /** Cache size in tokens, shared by running requests and cached prompt parts. */
    readonly cacheTokens: number;
    /** Generated tokens in one event of a stream; undefined where the operators don't configure it. */
    readonly tokensPerEvent: number | undefined;
    /** Size of one cached token in bytes; undefined where engines can't copy cached tokens from one another. */
    readonly bytesPerToken: number | undefined;
    /** Bandwidth of an engine's link for such copies; bytes per millisecond. */
    readonly transferBytesPerMs: number | undefined;
}

/** A service that targets serve. */
export interface ServiceConfiguration {
    readonly name: string;
    /** Maximum number of connections that one target accepts from all routers together. */
    readonly maxConnections: number;
    /** How long a target stays cold after its start; milliseconds. */
    readonly coldStartMs: number;
    /** Maximum requests per second to one cold target from all routers together. */
    readonly coldRequestsPerSecond: number;
    /** Undefined for services without model engines. */
    readonly engine: EngineCapacity | undefined;
}

/** A client account and its API keys. */
export interface AccountConfiguration {
    readonly name: string;
    readonly apiKeys: readonly string[];
    /** Overrides the route's priority. */
    readonly priority: number | undefined;
}

/** Limits on callers' requests and connections, and the capacity that accounts share. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
    /** Tokens per second that all engines process together; undefined where the operators don't configure it. */
    readonly tokensPerSecond: number | undefined;
}

/** The complete configuration set by the operators. */
export interface GatewayConfiguration {
    /** Increases with each change, not necessarily by 1. */
    readonly version: number;
    readonly routes: readonly RouteConfiguration[];
    readonly services: readonly ServiceConfiguration[];
    readonly accounts: readonly AccountConfiguration[];
    readonly limits: CallerLimits;
}
