import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import { RunningDigest } from "../base/hash.js";
import type { WorkFrame } from "../control/frames.js";
import type { EventRecorder } from "../events/fleetEvent.js";
import type { WorkRequest } from "../fleet/entities.js";
import type { RouterMessage } from "../fleet/routerMessages.js";
import type { OpenRequest } from "./openRequest.js";
import type { BrokenTry } from "./workSender.js";

/** One try of a request at one agent: passes the answer to the caller and tells the core what happens. */
export class Try {
    private readonly cancellation = new CancellationTokenSource();
    private nextSequence = 0;
    private readonly digest = new RunningDigest();
    private answered = false;
    private lastFrameAtMs: number;
    /** Frames that the caller has not taken yet. */
    private pendingFrames = 0;

    public constructor(
        private readonly open: OpenRequest,
        public readonly agentId: string,
        public readonly attempt: number,
        private readonly sendMessage: (message: RouterMessage) => void,
        private readonly recorder: EventRecorder,
        private readonly clock: Clock,
        private readonly onDidDelegate: (idempotencyKey: string) => void,
    ) {
        this.lastFrameAtMs = clock.nowMs();
    }

    public get requestId(): string {
        return this.open.work.id;
    }

    public get work(): WorkRequest {
        return this.open.work;
    }

    public get token(): CancellationToken {
        return this.cancellation.token;
    }

    /** Whether only this agent may run the request. */
    public get isHomeBound(): boolean {
        return this.open.homeAgentId !== undefined;
    }

    /** Whether the caller has its final answer, whole or broken. */
    public get isAnswered(): boolean {
        return this.answered;
    }

    /** Time for which no frame has come although the caller took all that came before; milliseconds. */
    public get silentMs(): number {
        return this.pendingFrames > 0 ? 0 : this.clock.nowMs() - this.lastFrameAtMs;
    }

    /** Ends the connection to the agent; it drops the request or stops its run. */
    public cancel(): void {
        this.cancellation.cancel();
    }

    /** Gives the try up although its connection stands: nothing has come over it for too long. */
    public end(detail: string): void {
        this.fail({ execution: "unknown", detail });
        this.cancel();
    }

    /** Takes a frame; settles when the caller can bear the next. */
    public async take(frame: WorkFrame): Promise<void> {
        this.pendingFrames++;
        try {
            await this.handleFrame(frame);
        } finally {
            this.pendingFrames--;
            this.lastFrameAtMs = this.clock.nowMs();
        }
    }

    private async handleFrame(frame: WorkFrame): Promise<void> {
        switch (frame.type) {
            case "queued":
                return;
            case "started":
                this.sendMessage({ type: "workStarted", ...this.names });
                return;
            case "withdrawn":
                this.sendMessage({ type: "workWithdrawn", ...this.names });
                return;
            case "delegated":
                this.onDidDelegate(frame.idempotencyKey);
                return;
            case "refused":
                this.sendMessage({
                    type: "workRefused",
                    ...this.names,
                    refusal: { ...frame.refusal, retryAfterMs: frame.refusal.retryAfterMs },
                });
                return;
            case "head":
                await this.open.answer.writeHead(frame.status, frame.headers);
                return;
            case "chunk":
                await this.takeChunk(frame.sequence, frame.data);
                return;
            case "end":
                await this.takeEnd(frame.count, frame.cost);
                return;
            case "failed":
                this.fail({ execution: frame.execution, detail: frame.detail });
                return;
        }
    }

    /** The try will bring no (whole) answer. */
    public fail(broken: BrokenTry): void {
        if (this.answered || this.token.isCancelled) {
            return;
        }
        if (this.open.answer.hasBegun) {
            // Part of the answer has reached the caller: another try would begin a second answer in the middle of the
            // first. The caller sees the break, and the core is told that the request is over.
            this.answered = true;
            const { id: requestId, clientAccount, service } = this.open.work;
            const { execution } = broken;
            this.recorder.record({ kind: "answer-cut", requestId, clientAccount, service, execution });
            this.open.answer.fail({
                status: 502,
                code: "answer-cut",
                title: "The answer broke off",
                detail: broken.detail,
                execution: broken.execution === "not-run" ? "unknown" : broken.execution,
                retryAfterMs: 1_000,
            });
            this.sendMessage({ type: "workEnded", ...this.names, cost: 0 });
            return;
        }
        this.sendMessage({ type: "workFailed", ...this.names, execution: broken.execution, detail: broken.detail });
    }

    private async takeChunk(sequence: number, data: string): Promise<void> {
        if (sequence !== this.nextSequence) {
            throw new Error(`chunk ${sequence} came where ${this.nextSequence} was due`);
        }
        this.nextSequence++;
        this.digest.add(data);
        await this.open.answer.writeChunk(data);
    }

    private async takeEnd(count: number, cost: number): Promise<void> {
        if (count !== this.nextSequence) {
            throw new Error(`the answer has ${count} chunks and ${this.nextSequence} came`);
        }
        this.answered = true;
        await this.open.answer.end();
        const { id: requestId, clientAccount, service } = this.open.work;
        const digest = this.digest.build();
        this.recorder.record({ kind: "answer-delivered", requestId, clientAccount, service, value: count, digest });
        this.sendMessage({ type: "workEnded", ...this.names, cost });
    }

    private get names(): { requestId: string; agentId: string; attempt: number } {
        return { requestId: this.requestId, agentId: this.agentId, attempt: this.attempt };
    }
}
