import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import type { WorkEnvelope } from "../control/frames.js";
import type { RunSink, RunUsage, TargetClient, TargetError, TargetLoad } from "./targetClient.js";

/** Picks the protocol by the request's kind: one target may serve models and plain calls. */
export class TargetSwitch implements TargetClient {
    public constructor(
        private readonly model: TargetClient,
        private readonly plain: TargetClient,
    ) {}

    public run(
        envelope: WorkEnvelope,
        body: Buffer,
        sink: RunSink,
        token: CancellationToken,
    ): ResultAsync<RunUsage, TargetError> {
        return (envelope.kind === "model" ? this.model : this.plain).run(envelope, body, sink, token);
    }

    public fetchLoad(token: CancellationToken): ResultAsync<TargetLoad | undefined, TargetError> {
        return this.model.fetchLoad(token);
    }
}
