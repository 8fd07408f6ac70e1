import type { IncomingHttpHeaders } from "node:http";
import type { ResponseHead } from "./wire.js";

/** Head of a target's answer. */
export interface TargetResponseHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly decoded: ResponseHead;
}

/** A target's whole answer that has not been passed on. */
export interface StoredResponse extends TargetResponseHead {
    readonly body: Buffer;
}

/** What a piece of a target's answer brought. */
export type RelayedOutput =
    | "none"
    | "first"
    | "more"
    /** The answer is longer than any may be, or holds an event that is; its end is not waited for. */
    | "overlong";

/** Passes one request's answer on to its caller, over one attempt or several. */
export interface ResponseRelay {
    /** Whether bytes have gone to the caller, so that no other answer can take this one's place. */
    readonly isCommitted: boolean;
    /** Whether a break can be mended by an attempt that goes on where this one stopped. */
    readonly canResume: boolean;
    /** Events that have gone to the caller; 0 for an answer that is no stream. */
    readonly relayedEvents: number;
    /** The event to resume behind; undefined to begin anew. */
    readonly lastEventId: string | undefined;
    /** A successful answer begins. False: it can't follow what has been passed on. */
    handleHead(head: TargetResponseHead): boolean;
    /** More of its body; returns whether output has come with it. */
    handleData(chunk: Buffer): RelayedOutput;
    /** Its end was seen. False: it stops in the middle all the same. */
    handleEnd(): boolean;
    /** The attempt is over without an end; what it left half is dropped. */
    handleDisconnect(): void;
}
