import type { RouterCrash } from "./soakRouters.js";

/** What a caller sent and got. Times are monotonic milliseconds of the harness's process. */
export interface CallerAttempt {
    readonly id: string;
    readonly kind: CallKind;
    readonly path: string;
    readonly body: string;
    readonly key: string;
    readonly router: string;
    /** Which start of that router had the connection. */
    readonly routerStart: number;
    readonly sentAtMs: number;
    /** The connection had served a request before. */
    readonly isReused: boolean;
    /** Its prompt has the part that ends targets. */
    readonly hasFatalPart?: boolean;
    /** Set if it resumes a stream: the attempt that received its first event, and the number of events received. */
    readonly resumes?: string;
    readonly resumedAfter?: number;
    /** When the caller closed its connection; undefined: it waited. */
    leftAtMs?: number;
    endedAtMs?: number;
    status?: number;
    stamp?: string;
    retryAfter?: string;
    answer?: string;
    /** The answer came to its end by the rules of HTTP. */
    isWhole?: boolean;
}

/** The routes that callers use. */
export type CallKind = "resumable" | "once" | "book" | "find" | "version";

/** A request as a target got it. */
export interface TargetArrival {
    readonly id: string | undefined;
    readonly target: string;
    readonly service: string;
    readonly atMs: number;
    readonly method: string | undefined;
    readonly path: string | undefined;
    readonly body: string;
    readonly account: string | undefined;
    /** Headers that only a router may set, or that must not be passed on, as far as they arrived. */
    readonly forged: readonly string[];
    readonly ran: boolean;
    /** The answer says that the target is leaving. */
    readonly saysLeaving: boolean;
    /** The answer asks for no requests for so long; milliseconds. */
    readonly pauseMs: number | undefined;
}

/** What was disturbed, and from when to when. */
export interface Disturbance {
    readonly what: string;
    /** A router's name, `store`, or `targets`. */
    readonly scope: string;
    readonly fromMs: number;
    toMs: number;
}

/** Something that operators or targets told the store. */
export interface StoreWord {
    readonly kind:
        | "route-added"
        | "route-removed"
        | "key-revoked"
        | "draining"
        | "removed"
        | "gone"
        | "crashed"
        | "crashed-by-part"
        | "data-centre-out"
        | "data-centre-in";
    /** Path, key, target or data centre. */
    readonly name: string;
    readonly atMs: number;
}

/** An order to move a service to another version, and what the routers made of it. */
export interface SoakRollout {
    readonly service: string;
    readonly version: string;
    /** Half of the version's answers are failures. */
    readonly isBad: boolean;
    readonly orderedAtMs: number;
    readonly durationMs: number;
    /** All states that were written, in order. */
    readonly states: readonly string[];
    /** When the first final state was seen. */
    readonly endedAtMs: number | undefined;
}

/** All that a run left behind. */
export interface SoakRecord {
    readonly attempts: readonly CallerAttempt[];
    readonly arrivals: readonly TargetArrival[];
    readonly disturbances: readonly Disturbance[];
    readonly words: readonly StoreWord[];
    /** Data centre of each target. */
    readonly dataCentres: ReadonlyMap<string, string>;
    /** Software version of each target. */
    readonly versions: ReadonlyMap<string, string>;
    readonly rollouts: readonly SoakRollout[];
    /** Cold from the first to the second time. */
    readonly coldSpans: readonly { readonly target: string; readonly fromMs: number; readonly toMs: number }[];
    /** When everything was whole again, and the last measured calls began. */
    readonly healedAtMs: number;
    /** Routers that ended by themselves. */
    readonly crashes: readonly RouterCrash[];
}

/** A promise that was not kept. */
export interface Breach {
    readonly promise: string;
    readonly evidence: string;
}
