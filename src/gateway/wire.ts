import type { IncomingHttpHeaders } from "node:http";
import type { RetryAfter } from "../base/retryAfter.js";

/** One part of a prompt, shared with other requests or the request's own. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a caller's request says of itself. */
export interface RequestHead {
    /** Name of this attempt of the caller; undefined when it sent none. */
    readonly requestId: string | undefined;
    /** How long the caller waits, from now; milliseconds. */
    readonly remainingMs: number | undefined;
    readonly apiKey: string | undefined;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** In the prompt's order; the last part belongs to the request or its session. */
    readonly promptParts: readonly PromptPart[];
    /** Where a broken stream goes on; undefined for a new one. */
    readonly lastEventId: string | undefined;
}

/** What the router adds to a request for its target. */
export interface ForwardedFields {
    readonly remainingMs: number;
    readonly targetId: string;
    readonly clientAccount: string | undefined;
    /** Resume behind this event; undefined to begin anew. */
    readonly lastEventId: string | undefined;
    /** Address of the engine that the target copies cached tokens from first; undefined: it reads all that it lacks. */
    readonly fetchFrom: string | undefined;
}

/** What a target says in an answer of whether it takes requests. */
export interface TargetSignals {
    /** It is leaving. */
    readonly isLeaving: boolean;
    /** How long it wants nothing more from this router. */
    readonly pause: RetryAfter;
}

/** What a target's answer says of itself. */
export interface ResponseHead extends TargetSignals {
    /** The request it answers, as the target echoes it. */
    readonly requestId: string | undefined;
    /** The target says that it did not run the request. */
    readonly isNotExecuted: boolean;
    /** Another target has the address; it did not run the request either. */
    readonly isOtherTarget: boolean;
    /** The answer is signed by the target's engine. */
    readonly isSigned: boolean;
    readonly hasEncodedBody: boolean;
}

/** Translates between the HTTP headers of callers and targets and the router's own types. */
export interface HeaderCodec {
    /** `rawHeaders`: names and values by turns, as they came. */
    decodeRequest(rawHeaders: readonly string[]): RequestHead;
    /** Headers for the target: the caller's own without those that only the router may set. */
    encodeForTarget(rawHeaders: readonly string[], fields: ForwardedFields): string[];
    /** `now`: wall-clock time at which the head was received. */
    decodeResponse(status: number, headers: IncomingHttpHeaders, now: Date): ResponseHead;
    /** Headers for the caller from those of the target's answer. */
    encodeForCaller(headers: IncomingHttpHeaders): Record<string, string | string[]>;
    /** Header of an answer of the router's own that names the request. */
    encodeRouterResponse(requestId: string | undefined): Record<string, string>;
}
