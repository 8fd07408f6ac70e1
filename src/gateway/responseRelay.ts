import type { IncomingHttpHeaders } from "node:http";
import type { ResponseHead } from "./wire.js";

/** Head of a target's response. */
export interface TargetResponseHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly decoded: ResponseHead;
}

/** A complete response of a target that has not been relayed. */
export interface StoredResponse extends TargetResponseHead {
    readonly body: Buffer;
}

/** Whether a chunk of a target's response led to output for the caller. */
export type RelayedOutput =
    | "none"
    | "first"
    | "more"
    /** The response or one of its events exceeds its maximum size. */
    | "overlong";

/** Relays the response to one request to its caller, over one or several attempts. */
export interface ResponseRelay {
    /** Whether part of the response has been sent to the caller, so that it can't be replaced by another response. */
    readonly isCommitted: boolean;
    /** Whether another attempt can continue the response after a disconnect. */
    readonly canResume: boolean;
    /** Number of events sent to the caller; 0 for a response that is not a stream. */
    readonly relayedEvents: number;
    /** Id of the event after which to resume; undefined to start from the beginning. */
    readonly lastEventId: string | undefined;
    /** A successful response starts; false if it can't continue what has been relayed. */
    handleHead(head: TargetResponseHead): boolean;
    /** A chunk of the body; returns whether it led to output. */
    handleData(chunk: Buffer): RelayedOutput;
    /** The response ended; false if it is incomplete nevertheless. */
    handleEnd(): boolean;
    /** The attempt ended without a complete response; incomplete data is discarded. */
    handleDisconnect(): void;
}
