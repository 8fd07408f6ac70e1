import { RunningDigest } from "../base/hash.js";
import type { WorkFrame } from "../control/frames.js";
import type { EventRecorder } from "../events/fleetEvent.js";
import type { AgentMessage, RunOutcome } from "../fleet/agentMessages.js";
import type { HeldWork } from "./heldWork.js";
import type { RunSink, RunUsage, TargetClient, TargetError, TargetErrorKind } from "./targetClient.js";

/** How a run ended: what the core is told, and the last frame of the answer. */
export interface RunEnding {
    readonly message: Extract<AgentMessage, { type: "runEnded" }>;
    readonly frame: WorkFrame;
}

const outcomes: Readonly<Record<TargetErrorKind, RunOutcome>> = {
    refused: "refused-by-target",
    "error-answer": "target-error",
    broken: "failed",
};

/** One request's run at the target: numbers its chunks and tells the core of its progress. */
export class TargetRun implements RunSink {
    private sequence = 0;
    private generated = 0;
    private readonly digest = new RunningDigest();
    private hasFirstOutput = false;
    private readonly requestId: string;

    public constructor(
        private readonly held: HeldWork,
        private readonly target: TargetClient,
        private readonly sendMessage: (message: AgentMessage) => void,
        private readonly recorder: EventRecorder,
    ) {
        this.requestId = held.envelope.requestId;
    }

    /** Runs to the end; never rejects. */
    public async run(): Promise<RunEnding> {
        await this.held.write({ type: "started" });
        const { envelope, body, cancellation } = this.held;
        const result = await this.target.run(envelope, body, this, cancellation.token);
        return result.match(
            usage => {
                this.recordAnswer();
                return this.createEnding("completed", usage, { type: "end", count: this.sequence, cost: 0 });
            },
            error => this.createFailure(error),
        );
    }

    public async writeHead(status: number, headers: Readonly<Record<string, string>>): Promise<void> {
        if (this.held.envelope.kind === "plain") {
            this.observeOutput();
        }
        await this.held.write({ type: "head", status, headers: { ...headers } });
    }

    public async writeChunk(data: string, tokens: number): Promise<void> {
        if (tokens > 0) {
            this.observeOutput();
            this.generated += tokens;
            this.sendMessage({ type: "progressed", requestId: this.requestId, tokens });
        }
        this.digest.add(data);
        await this.held.write({ type: "chunk", sequence: this.sequence++, data });
    }

    private recordAnswer(): void {
        const { clientAccount, service } = this.held.envelope;
        this.recorder.record({
            kind: "answer-sent",
            requestId: this.requestId,
            clientAccount,
            service,
            value: this.sequence,
            digest: this.digest.build(),
        });
    }

    private observeOutput(): void {
        if (!this.hasFirstOutput) {
            this.hasFirstOutput = true;
            this.sendMessage({ type: "firstOutput", requestId: this.requestId });
        }
    }

    private createFailure(error: TargetError): RunEnding {
        const outcome = this.held.cancellation.token.isCancelled ? "cancelled" : outcomes[error.kind];
        const usage = { promptTokens: 0, generatedTokens: this.generated };
        return this.createEnding(
            outcome,
            { ...usage, pauseMs: error.pauseMs },
            {
                type: "failed",
                execution: error.execution,
                detail: error.message,
            },
        );
    }

    private createEnding(
        outcome: RunOutcome,
        usage: RunUsage & { readonly pauseMs?: number },
        frame: WorkFrame,
    ): RunEnding {
        const cost = usage.promptTokens + usage.generatedTokens;
        return {
            message: { type: "runEnded", requestId: this.requestId, outcome, ...usage },
            frame: frame.type === "end" ? { ...frame, cost } : frame,
        };
    }
}
