import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { Metrics } from "../base/metrics.js";
import { encodeAnswerReport } from "../control/answerReport.js";
import type { WorkEnvelope } from "../control/frames.js";
import type { AgentControlHost, ExchangeReply, ExchangeRequest } from "../control/host.js";
import type { AcceptedDocument } from "../document/schema.js";
import type { EventRing } from "../events/eventRing.js";
import type { AgentEffect, AgentMessage } from "../fleet/agentMessages.js";
import type { ClientShare } from "../fleet/clientShare.js";
import type { Core } from "../fleet/core.js";
import { CoreRunner, type Scheduler } from "../fleet/coreRunner.js";
import type { AgentReport, BriefReport, WorkRequest } from "../fleet/entities.js";
import type { AnswerFollower } from "./answerFollower.js";
import { HeldWork } from "./heldWork.js";
import { PeerCounter } from "./peerCounter.js";
import type { StartGuard, WorkHolder } from "./workHolder.js";
import type { TargetClient } from "./targetClient.js";
import { TargetRun } from "./targetRun.js";

/** The agent's core as the shell sees it. */
export interface AgentCoreApi extends Core<AgentMessage, AgentEffect> {
    /** What routers are told; counters that an acknowledged report already carried are left out. */
    createReport(acknowledgedSequence: number | undefined): AgentReport;
    /** A small report to go along with an answer. */
    createAnswerReport(service: string, clientAccount: string): BriefReport;
    listShares(): readonly ClientShare[];
}

/** Where the agent keeps its document and hands on newer ones. */
export interface DocumentPeer {
    readonly current: AcceptedDocument | undefined;
    applyPeerDocument(document: AcceptedDocument): void;
}

/** What the service is built from. */
export interface AgentServiceParts {
    readonly core: AgentCoreApi;
    readonly target: TargetClient;
    readonly documents: DocumentPeer;
    readonly events: EventRing;
    readonly clock: Clock;
    readonly scheduler: Scheduler;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** The shell around an agent's core: holds requests, runs them at the target, and speaks for the core. */
export class AgentService implements AgentControlHost, WorkHolder, Disposable {
    private readonly runner: CoreRunner<AgentMessage, AgentEffect>;
    private readonly held = new Map<string, HeldWork>();
    private readonly runs = new Map<string, TargetRun>();
    private readonly routers = new PeerCounter();
    /** Asked right before a request is given to the target. */
    public guard: StartGuard = { checkStart: () => undefined };
    /** Answers of {@link withdrawWork}, which the core gives while its message is handled. */
    private lastWithdrawn: string | undefined;

    public constructor(private readonly parts: AgentServiceParts) {
        this.runner = new CoreRunner(parts.core, parts.clock, parts.scheduler, effect => this.applyEffect(effect));
    }

    /** Number of requests held, waiting or running. */
    public get open(): number {
        return this.held.size;
    }

    /** Number of runs at the target. */
    public get running(): number {
        return this.runs.size;
    }

    /** Passes the core a message that is not about one held request. */
    public send(message: AgentMessage): void {
        this.runner.send(message);
    }

    /** Holds a request; its answer goes to `follower`. The core does not know of it before {@link offerWork}. */
    public createHeldWork(envelope: WorkEnvelope, body: Buffer, follower: AnswerFollower): HeldWork {
        if (envelope.time !== undefined) {
            this.parts.events.merge(envelope.time);
        }
        if (envelope.claim !== undefined) {
            const { routerId, service, clientAccount, claim } = envelope;
            const claims = [{ service, clientAccount, ...claim }];
            this.send({ type: "claimsReceived", routerId, claims, source: "work" });
        }
        const held = new HeldWork(envelope, body);
        held.add(follower);
        return held;
    }

    /** Offers a held request to the core. */
    public offerWork(held: HeldWork): void {
        const { envelope, body } = held;
        this.held.set(envelope.requestId, held);
        this.runner.send({
            type: "workOffered",
            request: toWorkRequest(envelope, body.length, this.parts.clock.nowMs()),
            routerId: envelope.routerId,
        });
        this.reportQueued(held);
    }

    /** A held request, for followers that join it. */
    public get(requestId: string): HeldWork | undefined {
        return this.held.get(requestId);
    }

    /** A follower's connection closed. The request is cancelled when nobody follows it any more. */
    public removeFollower(requestId: string, follower: AnswerFollower): void {
        const held = this.held.get(requestId);
        if (held !== undefined && !held.remove(follower)) {
            this.runner.send({ type: "workCancelled", requestId });
        }
    }

    public withdrawWork(requestId: string): boolean {
        this.lastWithdrawn = undefined;
        this.runner.send({ type: "withdrawRequested", requestId });
        return this.lastWithdrawn === requestId;
    }

    public handleExchange(request: ExchangeRequest): ExchangeReply {
        this.parts.events.merge(request.time);
        this.routers.observe(request.routerId, this.parts.clock.nowMs());
        if (request.document !== undefined) {
            this.parts.documents.applyPeerDocument(request.document);
        }
        this.runner.send({ type: "claimsReceived", routerId: request.routerId, claims: request.claims });
        const current = this.parts.documents.current;
        const newer = current !== undefined && current.offset > request.documentOffset;
        return {
            time: this.parts.events.now(),
            report: this.parts.core.createReport(request.acknowledgedSequence),
            document: newer ? current : undefined,
            routerCount: this.routers.size,
        };
    }

    public dispose(): void {
        this.runner.dispose();
        for (const held of this.held.values()) {
            held.cancellation.cancel();
        }
    }

    private applyEffect(effect: AgentEffect): void {
        switch (effect.type) {
            case "startWork":
                this.startWork(effect.requestId);
                return;
            case "refuseWork":
                this.release(effect.requestId, held => held.close({ type: "refused", refusal: effect.refusal }));
                return;
            case "workWithdrawn":
                this.lastWithdrawn = effect.requestId;
                this.release(effect.requestId, held => held.close({ type: "withdrawn" }));
                return;
            case "withdrawRefused":
                return;
            case "cancelRun":
                this.held.get(effect.requestId)?.cancellation.cancel();
                return;
        }
    }

    private startWork(requestId: string): void {
        const held = this.held.get(requestId);
        if (held === undefined) {
            return;
        }
        const refusal = this.guard.checkStart(held.envelope);
        if (refusal !== undefined) {
            this.send({ type: "runEnded", requestId, outcome: "cancelled", promptTokens: 0, generatedTokens: 0 });
            this.release(requestId, found => found.close({ type: "refused", refusal }));
            return;
        }
        const run = new TargetRun(held, this.parts.target, message => this.runner.send(message), this.parts.events);
        this.runs.set(requestId, run);
        void run.run().then(ending => {
            this.runs.delete(requestId);
            this.runner.send(ending.message);
            const { service, clientAccount } = held.envelope;
            const report = encodeAnswerReport(this.parts.core.createAnswerReport(service, clientAccount));
            const frame =
                ending.frame.type === "end" ? { ...ending.frame, report, time: this.parts.events.now() } : ending.frame;
            this.release(requestId, found => found.close(frame));
            this.parts.metrics.increment("runs", { outcome: ending.message.outcome });
        });
    }

    /** A request that is not started at once tells its router how full the agent is, so that it can be moved at once. */
    private reportQueued(held: HeldWork): void {
        const { requestId, service, clientAccount } = held.envelope;
        if (this.held.has(requestId) && !this.runs.has(requestId)) {
            const report = encodeAnswerReport(this.parts.core.createAnswerReport(service, clientAccount));
            void held.write({ type: "queued", report });
        }
    }

    private release(requestId: string, close: (held: HeldWork) => Promise<void>): void {
        const held = this.held.get(requestId);
        if (held === undefined) {
            return;
        }
        this.held.delete(requestId);
        void close(held);
    }
}

function toWorkRequest(envelope: WorkEnvelope, bodyBytes: number, nowMs: number): WorkRequest {
    return {
        id: envelope.requestId,
        clientAccount: envelope.clientAccount,
        service: envelope.service,
        kind: envelope.kind,
        idempotent: envelope.idempotent,
        idempotencyKey: envelope.idempotencyKey,
        arrivedAtMs: nowMs,
        deadlineAtMs: nowMs + envelope.remainingMs,
        promptTokens: envelope.promptTokens,
        maxTokens: envelope.maxTokens,
        prefixHash: envelope.prefixHash,
        bodyBytes,
    };
}
