import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import { LynxarchError } from "../base/errors.js";
import type { EngineOrder } from "../decisions/limits/orderPolicy.js";
import type { WorkEnvelope } from "../control/frames.js";
import type { Execution } from "../fleet/entities.js";

/** What a run's failure tells of the target. */
export type TargetErrorKind =
    /** It was alive and turned the request away, as one in cold start does. */
    | "refused"
    /** It answered with an error: the request's fault or the target's, but the target has kept its state. */
    | "error-answer"
    /** The connection or the stream broke: the target may have lost its state. */
    | "broken";

/** A run at the target did not end as it should. */
export class TargetError extends LynxarchError {
    public readonly code = "target-failed";

    public constructor(
        message: string,
        /** Whether the target may have run the request. */
        public readonly execution: Execution,
        public readonly kind: TargetErrorKind,
        cause?: unknown,
        /** How long the target wants no requests; milliseconds, undefined: it does not say. */
        public readonly pauseMs?: number,
    ) {
        super(message, cause);
    }
}

/** Takes a run's output; a slow taker slows the target's stream down, memory does not grow. */
export interface RunSink {
    writeHead(status: number, headers: Readonly<Record<string, string>>): Promise<void>;
    /** `tokens` is how many generated tokens the chunk carries, as far as can be seen. */
    writeChunk(data: string, tokens: number): Promise<void>;
}

/** What a run used, in the target's own count if it told. */
export interface RunUsage {
    readonly promptTokens: number;
    readonly generatedTokens: number;
}

/** A target's load report; it lags. */
export interface TargetLoad {
    readonly running: number;
    readonly waiting: number;
    readonly cold: boolean;
}

/** Takes orders. */
export interface OrderTarget {
    /** `stale`: the engine refused the order for its old fencing number. Errors: unreachable or failed. */
    sendOrder(order: EngineOrder, token: CancellationToken): ResultAsync<"done" | "stale", TargetError>;
}

/** Speaks to a target. */
export interface TargetClient {
    /** Runs a request to its end. Errors: TargetError; `not-run` only when the target cannot have begun it. */
    run(
        envelope: WorkEnvelope,
        body: Buffer,
        sink: RunSink,
        token: CancellationToken,
    ): ResultAsync<RunUsage, TargetError>;
    /** Errors: unreachable. Undefined when the target publishes no report. */
    fetchLoad(token: CancellationToken): ResultAsync<TargetLoad | undefined, TargetError>;
}
