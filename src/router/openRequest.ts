import type { WorkRequest } from "../fleet/entities.js";
import type { CallerAnswer } from "./callerAnswer.js";

/** A plain service's call as it goes to the target. */
export interface PlainCall {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
}

/** A caller's request from its arrival to its final answer. */
export interface OpenRequest {
    readonly work: WorkRequest;
    readonly body: Buffer;
    readonly call: PlainCall | undefined;
    readonly answer: CallerAnswer;
    /** Agent that must run it, for calls with an idempotency key. */
    readonly homeAgentId: string | undefined;
    /** An issued key of another home, for a home that takes nothing new. */
    readonly delegateKey?: string | undefined;
    /** The issued key under which the request goes on since its home handed it over. */
    readonly delegatedKey?: string | undefined;
}
