import { CancellationTokenSource } from "../base/cancellation.js";
import { Emitter } from "../base/event.js";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { Metrics } from "../base/metrics.js";
import type { AnswerReport } from "../control/answerReport.js";
import type { WorkFrame } from "../control/frames.js";
import type { EventRecorder } from "../events/fleetEvent.js";
import type { ClientShare } from "../fleet/clientShare.js";
import type { Core } from "../fleet/core.js";
import { CoreRunner, type Scheduler } from "../fleet/coreRunner.js";
import type { Refusal, ServiceCounter } from "../fleet/entities.js";
import type { RouterEffect, RouterMessage } from "../fleet/routerMessages.js";
import type { AgentDirectory } from "./agentDirectory.js";
import type { OpenRequest } from "./openRequest.js";
import { toProblem } from "./problem.js";
import { Try } from "./try.js";
import type { BrokenTry, WorkSender } from "./workSender.js";
import { createAttemptId } from "./workSender.js";

/** Claims for one agent, and the version up to which they are complete. */
export interface VersionedClaims {
    readonly version: number;
    readonly claims: readonly ServiceCounter[];
}

/** A report that an answer brought, with the request's service and account. */
export interface ReportOnAnswer {
    readonly agentId: string;
    readonly service: string;
    readonly clientAccount: string;
    readonly report: AnswerReport;
}

/** The router's core as the shell sees it. */
export interface RouterCoreApi extends Core<RouterMessage, RouterEffect> {
    createClaims(agentId: string, sinceVersion?: number): VersionedClaims;
    listShares(): readonly ClientShare[];
    countWaiting(): number;
    countRunning(): number;
}

/** What the service is built from. */
export interface RouterServiceParts {
    readonly core: RouterCoreApi;
    readonly directory: AgentDirectory;
    readonly sender: WorkSender;
    readonly clock: Clock;
    readonly scheduler: Scheduler;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly events: EventRecorder;
    /** The agent that an issued key names; undefined when it is none of ours. */
    findIssuedHome(idempotencyKey: string): string | undefined;
}

/** The shell around a router's core: holds callers' requests, sends them, passes their answers on. */
export class RouterService implements Disposable {
    private readonly runner: CoreRunner<RouterMessage, RouterEffect>;
    private readonly open = new Map<string, OpenRequest>();
    private readonly tries = new Map<string, Try>();
    private readonly lifetime = new CancellationTokenSource();
    private readonly didReportEmitter = new Emitter<ReportOnAnswer>();
    private readonly unreachedEmitter = new Emitter<string>();

    /** An answer brought an agent's report. */
    public readonly onDidReport = this.didReportEmitter.onDidFire;
    /** An agent could not be reached with a request; the value is its id. */
    public readonly onDidFailToReach = this.unreachedEmitter.onDidFire;

    public constructor(private readonly parts: RouterServiceParts) {
        this.runner = new CoreRunner(parts.core, parts.clock, parts.scheduler, effect => this.applyEffect(effect));
    }

    /** Number of requests without a final answer. */
    public get openCount(): number {
        return this.open.size;
    }

    /** Passes the core a message that is not about one request. */
    public send(message: RouterMessage): void {
        this.runner.send(message);
    }

    /** Takes a caller's request; its answer object gets the rest. */
    public submit(request: OpenRequest): void {
        this.open.set(request.work.id, request);
        this.runner.send({ type: "submitted", request: request.work, homeAgentId: request.homeAgentId });
    }

    /** The caller left: its work is cancelled wherever it is. */
    public cancel(requestId: string): void {
        if (this.open.has(requestId)) {
            this.runner.send({ type: "cancelled", requestId });
            this.open.delete(requestId);
        }
    }

    /** Whether a request without a final answer is at the agent. */
    public hasTriesAt(agentId: string): boolean {
        return [...this.tries.values()].some(sending => sending.agentId === agentId);
    }

    /** Ends the tries at an agent of which nothing has come for `silenceMs`; returns whether others are left. */
    public endSilentTries(agentId: string, silenceMs: number): boolean {
        const tries = [...this.tries.values()].filter(sending => sending.agentId === agentId);
        const silent = tries.filter(sending => sending.silentMs >= silenceMs);
        silent.forEach(sending => sending.end("the agent has been silent for too long"));
        return silent.length < tries.length;
    }

    public dispose(): void {
        this.lifetime.cancel();
        this.runner.dispose();
        for (const attempt of this.tries.values()) {
            attempt.cancel();
        }
    }

    private applyEffect(effect: RouterEffect): void {
        switch (effect.type) {
            case "sendWork":
                this.sendWork(effect.requestId, effect.agentId, effect.attempt);
                return;
            case "withdrawWork":
                this.withdrawWork(effect.requestId, effect.agentId);
                return;
            case "cancelWork":
                this.tries.get(effect.requestId)?.cancel();
                return;
            case "refuse":
                this.refuse(effect.requestId, effect.refusal);
                return;
        }
    }

    private sendWork(requestId: string, agentId: string, attempt: number): void {
        const open = this.open.get(requestId);
        const address = this.parts.directory.get(agentId)?.entry.address;
        if (open === undefined || address === undefined) {
            const detail = "the agent is not in the roster";
            const execution = open?.homeAgentId === undefined ? "not-run" : "unknown";
            this.send({ type: "workFailed", requestId, agentId, attempt, execution, detail });
            return;
        }
        open.answer.clear();
        const sending = new Try(
            open,
            agentId,
            attempt,
            message => this.runner.send(message),
            this.parts.events,
            this.parts.clock,
            key => this.handleDelegated(open, agentId, attempt, key),
        );
        this.tries.set(requestId, sending);
        void this.parts.sender
            .send(open, attempt, { id: agentId, address }, frame => this.takeFrame(sending, frame), sending.token)
            .then(broken => this.handleTryEnd(sending, broken));
    }

    /** The key's home takes nothing new: the request goes on at the home that the issued key names. */
    private handleDelegated(open: OpenRequest, agentId: string, attempt: number, delegatedKey: string): void {
        const requestId = open.work.id;
        const homeAgentId = this.parts.findIssuedHome(delegatedKey);
        // A second hand-over would mean that both homes were taken out in this moment; the caller is told to come back.
        if (homeAgentId === undefined || open.delegatedKey !== undefined) {
            const refusal = { reason: "draining", execution: "unknown", retryAfterMs: 1_000, detail: "" } as const;
            const detail = "the homes of the key take nothing new";
            this.send({ type: "workRefused", requestId, agentId, attempt, refusal: { ...refusal, detail } });
            return;
        }
        this.open.set(requestId, { ...open, homeAgentId, delegatedKey });
        this.send({ type: "workDelegated", requestId, agentId, attempt, homeAgentId });
    }

    private async takeFrame(sending: Try, frame: WorkFrame): Promise<void> {
        if ((frame.type === "end" || frame.type === "queued") && frame.report !== undefined) {
            const { service, clientAccount } = sending.work;
            this.didReportEmitter.fire({ agentId: sending.agentId, service, clientAccount, report: frame.report });
        }
        await sending.take(frame);
    }

    private handleTryEnd(sending: Try, broken: BrokenTry | undefined): void {
        const { requestId } = sending;
        if (this.tries.get(requestId) === sending) {
            this.tries.delete(requestId);
        }
        if (broken !== undefined) {
            this.unreachedEmitter.fire(sending.agentId);
            // The home never saw this try, but may have run an earlier one under the same key.
            sending.fail(sending.isHomeBound ? { ...broken, execution: "unknown" } : broken);
        }
        if (sending.isAnswered) {
            this.open.delete(requestId);
        }
    }

    private withdrawWork(requestId: string, agentId: string): void {
        const sending = this.tries.get(requestId);
        const client = this.parts.directory.get(agentId)?.client;
        if (sending === undefined || client === undefined) {
            return;
        }
        // The outcome is read from the answer's own stream, which ends in a withdrawn frame or has said `started`: were
        // it taken from this reply too, the two could arrive in either order and contradict each other.
        void client
            .withdrawWork(createAttemptId(requestId, sending.attempt), this.lifetime.token)
            .mapErr(error => this.parts.logger.write("debug", "a withdraw got no answer", { detail: error.message }));
    }

    private refuse(requestId: string, refusal: Refusal): void {
        const open = this.open.get(requestId);
        this.tries.get(requestId)?.cancel();
        if (open !== undefined) {
            this.open.delete(requestId);
            open.answer.fail(toProblem(refusal));
        }
        const { reason, execution } = refusal;
        const clientAccount = open?.work.clientAccount;
        this.parts.logger.write("info", "refused", { requestId, clientAccount, reason, execution });
        this.parts.metrics.increment("refusals", { reason });
    }
}
