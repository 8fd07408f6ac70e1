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

/** What the systems of an agent's core share: its tables, its decisions, and the effects of this step. */
export class AgentContext {
    public readonly tables = new AgentTables();
    public readonly window = new ConcurrencyWindow();
    public readonly circuit: CircuitBreaker;
    public readonly pause = new TargetPause();
    public readonly reserve = new ShortReserve();
    public readonly estimator = new CostEstimator();
    /** Queued requests by the time at which they must have started. */
    public readonly deadlines = new IndexedHeap<string>();
    public readonly started: RecentIds;
    public readonly withdrawn: RecentIds;
    /** Newest last. */
    public readonly cachedPrefixes = new Map<string, true>();
    public document: EnvironmentDocument | undefined;
    public documentOffset = -1;
    /** Nothing starts before the first document: the target's limits are not known until then. */
    public phase: AgentPhase = "draining";
    /**
     * Number of the next report. It begins at the incarnation (a time in milliseconds), so that numbers acknowledged to
     * an earlier incarnation are smaller; else a router's old acknowledgement would hide this one's first charges.
     */
    public nextSequence: number;
    public startCount = 0;
    /** Smoothed time between two exchanges with one router; milliseconds. Undefined before two have come. */
    public exchangePeriodMs: number | undefined;
    /** When each router's exchange came last. */
    public readonly lastExchangeAtMsByRouter = new Map<string, number>();
    /** When an exchange last came from any router; undefined before the first. */
    public lastExchangeAtMs: number | undefined;
    /** When calls of plain services were last charged for their time. */
    public elapsedChargedAtMs = Number.NEGATIVE_INFINITY;
    /** Smoothed time of one request; milliseconds. */
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

    /** Adds an effect to this step's. */
    public addEffect(effect: AgentEffect): void {
        this.effects.push(effect);
    }

    /** Takes the effects of this step. */
    public takeEffects(): readonly AgentEffect[] {
        const taken = this.effects;
        this.effects = [];
        return taken;
    }

    /** Records an event of this agent's target. */
    public record(event: FleetEventInput): void {
        const { targetName, dataCentre } = this.identity;
        this.recorder.record({ target: targetName, dataCentre, ...event });
    }

    /** Records an event of a request. */
    public recordRequest(kind: FleetEventInput["kind"], request: WorkRequest, more: Partial<FleetEventInput>): void {
        const { id: requestId, clientAccount, service } = request;
        this.record({ kind, requestId, clientAccount, service, ...more });
    }

    /** What the target serves: by the document once there is one. */
    public listServices(): readonly string[] {
        return this.document?.targets[this.identity.targetName]?.services ?? this.identity.services;
    }

    public getWeight(clientAccount: string): number {
        return this.document?.clientAccounts[clientAccount]?.weight ?? 1;
    }

    public getRow(service: string): ServiceRow {
        const known = this.tables.services.get(service);
        if (known !== undefined) {
            return known;
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

    /** Tells the queue an account's present normalized service. */
    public updateQueue(row: ServiceRow, clientAccount: string): void {
        row.queue.updateAccount(clientAccount, row.ledger.getExpectedService(clientAccount));
    }

    /** Takes a request out of the queue for good. */
    public removeQueued(work: QueuedWork, nowMs: number): void {
        const row = this.getRow(work.request.service);
        row.queue.remove(work.id);
        this.deadlines.remove(work.id);
        row.ledger.recordActivity(work.clientAccount, nowMs);
    }

    /** Turns a request away that never started here. */
    public refuseRequest(request: WorkRequest, refusal: Refusal): void {
        this.recordRequest("request-refused", request, { reason: refusal.reason, execution: refusal.execution });
        this.addEffect({ type: "refuseWork", requestId: request.id, refusal });
    }

    /** Hands a queued request back. */
    public withdrawQueued(work: QueuedWork, reason: string, nowMs: number): void {
        this.removeQueued(work, nowMs);
        this.recordRequest("request-withdrawn", work.request, { reason, execution: "not-run" });
        this.addEffect({ type: "workWithdrawn", requestId: work.id });
    }

    /** Records the window after a change. */
    public recordWindow(reason: string | undefined): void {
        if (reason !== undefined) {
            this.record({ kind: "window-changed", reason, value: this.window.limit });
        }
    }
}
