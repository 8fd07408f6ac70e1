import type { IncomingHttpHeaders } from "node:http";
import type { RetryAfter } from "../base/retryAfter.js";

/** A part of a prompt, shared with other requests or private to the request or its session. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** The decoded headers of a caller's request. */
export interface RequestHead {
    /** Id of this attempt of the caller; undefined if the caller sent none. */
    readonly requestId: string | undefined;
    /** Time until the caller's deadline when the request was received; milliseconds. */
    readonly remainingMs: number | undefined;
    readonly apiKey: string | undefined;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** Parts in the order of the prompt; the last one is private to the request or its session. */
    readonly promptParts: readonly PromptPart[];
    /** Id of the event after which a stream is resumed; undefined for a new stream. */
    readonly lastEventId: string | undefined;
    /** Id of the caller's request that received the resumed stream's first event; undefined if the caller doesn't name it. */
    readonly resumedRequestId: string | undefined;
}

/** Values that the router adds to a request's headers for its target. */
export interface ForwardedFields {
    readonly remainingMs: number;
    readonly targetId: string;
    readonly clientAccount: string | undefined;
    /** Id of the event after which to resume; undefined to start from the beginning. */
    readonly lastEventId: string | undefined;
    /** Address of the engine from which the target first copies cached tokens; undefined if it prefills all uncached tokens. */
    readonly fetchFrom: string | undefined;
}

/** A target's report of its own load. */
export interface EngineLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Time that work takes at this moment relative to the usual time; undefined if the report has none, or a malformed or absurd one. */
    readonly slowdown?: number;
}

/** Signals in a target's response about whether it accepts further requests, and its report of its load. */
export interface TargetSignals {
    /** The target is leaving. */
    readonly isLeaving: boolean;
    /** How long this router must send no further requests to the target. */
    readonly pause: RetryAfter;
    /** Undefined if the response has no report, or a malformed one. */
    readonly load?: EngineLoad;
    /** Set if the response has a report that is malformed as a whole, or whose slowdown is malformed or out of bounds. */
    readonly hasInvalidLoad?: boolean;
}

/** The decoded headers of a target's response. */
export interface ResponseHead extends TargetSignals {
    /** Id of the request, as the target returned it. */
    readonly requestId: string | undefined;
    /** The target reports that it did not execute the request. */
    readonly isNotExecuted: boolean;
    /** Another target now has the address; it did not execute the request either. */
    readonly isOtherTarget: boolean;
    /** The response is signed by the target's engine. */
    readonly isSigned: boolean;
    readonly hasEncodedBody: boolean;
}

/** Converts between the HTTP headers of callers and targets and the router's types. */
export interface HeaderCodec {
    /** `rawHeaders`: alternating names and values, as received. */
    decodeRequest(rawHeaders: readonly string[]): RequestHead;
    /** Headers for the target: those of the caller without the ones that only the router may set, and the given fields. */
    encodeForTarget(rawHeaders: readonly string[], fields: ForwardedFields): string[];
    /** `now`: wall-clock time at which the response head was received. */
    decodeResponse(status: number, headers: IncomingHttpHeaders, now: Date): ResponseHead;
    /** Headers for the caller, from those of the target's response. */
    encodeForCaller(headers: IncomingHttpHeaders): Record<string, string | string[]>;
    /** Header that identifies the request in a response of the router itself. */
    encodeRouterResponse(requestId: string | undefined): Record<string, string>;
}
