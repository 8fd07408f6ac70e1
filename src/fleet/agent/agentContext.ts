import { CircuitBreaker } from "../../decisions/health/circuitBreaker.js";
import { TargetPause } from "../../decisions/health/targetPause.js";
import { CatchUpCap } from "../../decisions/shares/catchUpCap.js";
import { ConcurrencyWindow } from "../../decisions/limits/concurrencyWindow.js";
import { CostEstimator } from "../../decisions/shares/costEstimate.js";
import { FairQueue } from "../../decisions/shares/fairQueue.js";
import { RecentIds } from "../../decisions/structures/recentIds.js";
import { IndexedHeap } from "../../decisions/structures/indexedHeap.js";
import { ServiceLedger } from "../../decisions/shares/serviceLedger.js";
import { ShortReserve } from "../../decisions/admission/shortReserve.js";
import type { Random } from "../../base/random.js";
import type { EnvironmentDocument } from "../../document/schema.js";
import type { EventRecorder, FleetEventInput } from "../../events/fleetEvent.js";
import type { AgentEffect } from "../agentMessages.js";
import type { AgentIdentity, AgentPhase, Refusal, WorkRequest } from "../entities.js";
import { startedIdRetentionMs, withdrawnIdRetentionMs, type AgentOptions } from "./agentOptions.js";
import { AgentTables, type QueuedWork, type ServiceRow } from "./tables.js";

/** State shared by the systems of an agent's core: tables, decision components, and the effects of the current step. */
export class AgentContext {
    public readonly tables = new AgentTables();
    public readonly window = new ConcurrencyWindow();
    public readonly circuit: CircuitBreaker;
    public readonly pause = new TargetPause();
    public readonly reserve = new ShortReserve();
    public readonly estimator = new CostEstimator();
    /** Ids of queued requests by the latest time at which each may start; milliseconds. */
    public readonly deadlines = new IndexedHeap<string>();
    public readonly started: RecentIds;
    public readonly withdrawn: RecentIds;
    /** Hashes of the prompt prefixes of recently started requests, most recent last. */
    public readonly cachedPrefixes = new Map<string, true>();
    public document: EnvironmentDocument | undefined;
    public documentOffset = -1;
    /** Nothing starts before the first document arrives, as it holds the target's limits. */
    public phase: AgentPhase = "draining";
    /**
     * Sequence number of the next report. It starts at the incarnation (a time in milliseconds), so that sequence
     * numbers acknowledged to an earlier incarnation are smaller. Otherwise an old acknowledgement would exclude this
     * incarnation's first charges from reports.
     */
    public nextSequence: number;
    public startCount = 0;
    /** Smoothed time between two exchanges with the same router; milliseconds. Undefined before the second exchange. */
    public exchangePeriodMs: number | undefined;
    /** Time of the last exchange received from each router, by router id; milliseconds. */
    public readonly lastExchangeAtMsByRouter = new Map<string, number>();
    /** Time at which claims were last received from any router; milliseconds. Undefined before the first. */
    public lastExchangeAtMs: number | undefined;
    /** Time at which running calls of plain services were last charged for their elapsed time; milliseconds. */
    public elapsedChargedAtMs = Number.NEGATIVE_INFINITY;
    /** Smoothed duration of a completed request; milliseconds. 0 before the first. */
    public serviceTimeMs = 0;
    private effects: AgentEffect[] = [];

    public constructor(
        public readonly identity: AgentIdentity,
        public readonly options: AgentOptions,
        private readonly recorder: EventRecorder,
        random: Random,
    ) {
        this.nextSequence = identity.incarnation;
        this.circuit = new CircuitBreaker(random);
        this.started = new RecentIds({ retentionMs: startedIdRetentionMs, maxIds: options.maxStartedIds });
        this.withdrawn = new RecentIds({ retentionMs: withdrawnIdRetentionMs, maxIds: options.maxWithdrawnIds });
    }

    /** Adds an effect to those of the current step. */
    public addEffect(effect: AgentEffect): void {
        this.effects.push(effect);
    }

    /** Returns the effects of the current step and clears them. */
    public takeEffects(): readonly AgentEffect[] {
        const pending = this.effects;
        this.effects = [];
        return pending;
    }

    /** Records an event of this agent's target. */
    public record(event: FleetEventInput): void {
        const { targetName, dataCentre } = this.identity;
        this.recorder.record({ target: targetName, dataCentre, ...event });
    }

    /** Records an event that concerns a request. */
    public recordRequest(kind: FleetEventInput["kind"], request: WorkRequest, details: Partial<FleetEventInput>): void {
        const { id: requestId, clientAccount, service } = request;
        this.record({ kind, requestId, clientAccount, service, ...details });
    }

    /**
     * Services of the target: those in the document, or those of the agent's identity while the document lacks the
     * target.
     */
    public listServices(): readonly string[] {
        return this.document?.targets[this.identity.targetName]?.services ?? this.identity.services;
    }

    public getWeight(clientAccount: string): number {
        return this.document?.clientAccounts[clientAccount]?.weight ?? 1;
    }

    public getRow(service: string): ServiceRow {
        const existing = this.tables.services.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const row: ServiceRow = {
            service,
            queue: new FairQueue<QueuedWork>(),
            ledger: new ServiceLedger(),
            cap: new CatchUpCap(),
            running: 0,
            lastStartNumber: 0,
            msPerCost: undefined,
        };
        this.tables.services.set(service, row);
        return row;
    }

    /** Updates an account's position in the queue after a change of its normalized service. */
    public updateQueue(row: ServiceRow, clientAccount: string): void {
        row.queue.updateAccount(clientAccount, row.ledger.getExpectedService(clientAccount));
    }

    /** Removes a request from the queue and from the start deadlines. */
    public removeQueued(work: QueuedWork, nowMs: number): void {
        const row = this.getRow(work.request.service);
        row.queue.remove(work.id);
        this.deadlines.remove(work.id);
        row.ledger.recordActivity(work.clientAccount, nowMs);
    }

    /** Refuses an offered or queued request. */
    public refuseRequest(request: WorkRequest, refusal: Refusal): void {
        this.recordRequest("request-refused", request, { reason: refusal.reason, execution: refusal.execution });
        this.addEffect({ type: "refuseWork", requestId: request.id, refusal });
    }

    /** Removes a queued request and reports it to its router as withdrawn. */
    public withdrawQueued(work: QueuedWork, reason: string, nowMs: number): void {
        this.removeQueued(work, nowMs);
        this.recordRequest("request-withdrawn", work.request, { reason, execution: "not-run" });
        this.addEffect({ type: "workWithdrawn", requestId: work.id });
    }

    /** Records the window's new limit if `reason` names a change. */
    public recordWindow(reason: string | undefined): void {
        if (reason !== undefined) {
            this.record({ kind: "window-changed", reason, value: this.window.limit });
        }
    }
}
