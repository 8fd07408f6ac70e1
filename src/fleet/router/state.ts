import type { Random } from "../../base/random.js";
import { Backlog } from "../../decisions/admission/backlog.js";
import { DrainRate } from "../../decisions/admission/drainRate.js";
import { RetryBudget } from "../../decisions/retries/retryBudget.js";
import type { EnvironmentDocument } from "../../document/schema.js";
import type { EventRecorder, FleetEventKind } from "../../events/fleetEvent.js";
import type { Refusal, RefusalReason } from "../entities.js";
import type { RouterEffect } from "../routerMessages.js";
import { ClaimTable } from "./claims.js";
import type { RouterOptions } from "./options.js";
import { AgentTable, OfferTable, RequestTable, type Lane, type RequestEntry } from "./tables.js";
import { TimerQueue } from "./timers.js";

/** The tables of a router and the transitions that several systems share. */
export class RouterState {
    public readonly agents = new AgentTable();
    public readonly requests = new RequestTable();
    public readonly offers = new OfferTable();
    public readonly backlog = new Backlog();
    public readonly claims = new ClaimTable();
    public readonly budget = new RetryBudget();
    public readonly lanes = new Map<string, Lane>();
    /** Services without an agent that takes new work, with the time since when. */
    public readonly withoutAgentSinceMs = new Map<string, number>();
    public readonly timers = new TimerQueue();
    public document: EnvironmentDocument | undefined;
    public documentOffset = -1;
    public isStopping = false;
    private readonly drainRates = new Map<string, DrainRate>();
    private meanWeight = 1;
    private effects: RouterEffect[] = [];

    public constructor(
        public readonly routerId: string,
        public readonly dataCentre: string,
        public readonly options: RouterOptions,
        private readonly recorder: EventRecorder,
        public readonly random: Random,
    ) {}

    /** Takes over a newer document. */
    public setDocument(offset: number, document: EnvironmentDocument): void {
        this.document = document;
        this.documentOffset = offset;
        const weights = Object.values(document.clientAccounts).map(account => account.weight);
        this.meanWeight = weights.reduce((sum, weight) => sum + weight, 0) / Math.max(1, weights.length) || 1;
    }

    public getWeight(clientAccount: string): number {
        return this.document?.clientAccounts[clientAccount]?.weight ?? 1;
    }

    /** An account's weight over the mean one. */
    public getRelativeWeight(clientAccount: string): number {
        return this.getWeight(clientAccount) / this.meanWeight;
    }

    public addEffect(effect: RouterEffect): void {
        this.effects.push(effect);
    }

    public takeEffects(): readonly RouterEffect[] {
        const taken = this.effects;
        this.effects = [];
        return taken;
    }

    /** Records an event of a request. */
    public recordRequest(kind: FleetEventKind, entry: RequestEntry, details: RequestEventDetails = {}): void {
        const agent = entry.agentId === undefined ? undefined : this.agents.get(entry.agentId);
        this.recorder.record({
            kind,
            requestId: entry.request.id,
            clientAccount: entry.request.clientAccount,
            service: entry.request.service,
            ...(agent === undefined
                ? {}
                : { target: agent.report.identity.targetName, dataCentre: agent.report.identity.dataCentre }),
            ...details,
        });
    }

    /** Records that an agent was lost. */
    public recordAgentLost(target: string, dataCentre: string): void {
        this.recorder.record({ kind: "agent-lost", target, dataCentre });
    }

    /** Measures how fast a lane's backlog drains. */
    public getDrainRate(laneKey: string): DrainRate {
        let rate = this.drainRates.get(laneKey);
        if (rate === undefined) {
            rate = new DrainRate();
            this.drainRates.set(laneKey, rate);
        }
        return rate;
    }

    /** Whether a service has had no agent for so long that its requests are refused. */
    public isWithoutAgent(service: string, nowMs: number): boolean {
        const sinceMs = this.withoutAgentSinceMs.get(service);
        return sinceMs !== undefined && nowMs - sinceMs >= this.options.noTargetWaitMs;
    }

    /** Puts a request into the backlog: behind the others, or at the head when it waited before. */
    public addToBacklog(entry: RequestEntry, position: "last" | "first", nowMs: number): void {
        const weight = this.getWeight(entry.lane.clientAccount);
        this.requests.set({ ...entry, stage: "waiting", agentId: undefined, withdrawReason: undefined });
        if (position === "first") {
            this.backlog.addFirst(entry.lane.key, weight, entry.request.id);
        } else {
            this.backlog.add(entry.lane.key, weight, entry.request.id);
        }
        this.getDrainRate(entry.lane.key).handleBusy(nowMs);
    }

    /** Takes a request out of where it stands; the caller then gives it its next stage or deletes it. */
    public removeFromStage(entry: RequestEntry, nowMs: number): void {
        const laneKey = entry.lane.key;
        if (entry.stage === "waiting") {
            this.backlog.remove(entry.request.id);
            this.updateDrainRate(laneKey, nowMs);
        } else if (entry.agentId !== undefined && entry.stage !== "started") {
            this.offers.remove(entry.agentId, entry.lane, entry.request.id);
            this.backlog.handleLaneChanged(laneKey);
        }
    }

    /** Tells the lane's drain rate when its backlog has become empty. */
    public updateDrainRate(laneKey: string, nowMs: number): void {
        if (this.backlog.count(laneKey) === 0) {
            this.getDrainRate(laneKey).handleIdle(nowMs);
        }
    }

    /** Forgets a request. */
    public deleteRequest(entry: RequestEntry, nowMs: number): void {
        this.removeFromStage(entry, nowMs);
        this.requests.delete(entry.request.id);
        this.timers.remove("deadline", entry.request.id);
    }

    /** Gives the caller its final answer. */
    public refuse(entry: RequestEntry, refusal: Refusal, nowMs: number): void {
        this.deleteRequest(entry, nowMs);
        this.addEffect({ type: "refuse", requestId: entry.request.id, refusal });
        this.recordRequest("request-refused", entry, { reason: refusal.reason, execution: refusal.execution });
    }

    /** A refusal whose time to come back is spread, so that refused callers don't return in one wave. */
    public createRefusal(
        reason: RefusalReason,
        execution: Refusal["execution"],
        retryAfterMs: number | undefined,
        detail: string,
    ): Refusal {
        const spread = 1 + retrySpread * this.random.next();
        return {
            reason,
            execution,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs * spread),
            detail,
        };
    }
}

/** Part by which times to come back are spread. */
const retrySpread = 0.25;

interface RequestEventDetails {
    readonly reason?: string;
    readonly execution?: "not-run" | "unknown" | "ran";
    readonly value?: number;
}
