import type { Random } from "../../base/random.js";
import type { EventRecorder } from "../../events/fleetEvent.js";
import type { ClientShare } from "../clientShare.js";
import type { Core } from "../core.js";
import type { ServiceCounter } from "../entities.js";
import type { RouterEffect, RouterMessage } from "../routerMessages.js";
import { AdmitSystem } from "./admitSystem.js";
import { AgentViewSystem } from "./agentViewSystem.js";
import type { VersionedClaims } from "./claims.js";
import { CostEstimator } from "./costEstimator.js";
import { ExpireSystem } from "./expireSystem.js";
import { OfferSystem } from "./offerSystem.js";
import type { RouterOptions } from "./options.js";
import { RetrySystem } from "./retrySystem.js";
import { RouterState } from "./state.js";
import type { RequestEntry } from "./tables.js";
import { WithdrawSystem } from "./withdrawSystem.js";

/**
 * The deterministic core of role router: holds each account's backlog, offers work to agents, moves what waits at a busy
 * agent to one with room, retries what may be retried, and gives every request exactly one final outcome.
 */
export class RouterCore implements Core<RouterMessage, RouterEffect> {
    private readonly state: RouterState;
    private readonly costs = new CostEstimator();
    private readonly admitSystem: AdmitSystem;
    private readonly offerSystem: OfferSystem;
    private readonly withdrawSystem: WithdrawSystem;
    private readonly retrySystem: RetrySystem;
    private readonly expireSystem: ExpireSystem;
    private readonly agentViewSystem: AgentViewSystem;
    private lastTickAtMs = 0;

    public constructor(
        routerId: string,
        dataCentre: string,
        options: RouterOptions,
        recorder: EventRecorder,
        random: Random,
    ) {
        this.state = new RouterState(routerId, dataCentre, options, recorder, random);
        this.admitSystem = new AdmitSystem(this.state, this.costs);
        this.offerSystem = new OfferSystem(this.state);
        this.withdrawSystem = new WithdrawSystem(this.state);
        this.retrySystem = new RetrySystem(this.state);
        this.expireSystem = new ExpireSystem(this.state, this.withdrawSystem, this.retrySystem);
        this.agentViewSystem = new AgentViewSystem(
            this.state,
            this.withdrawSystem,
            this.retrySystem,
            this.expireSystem,
        );
    }

    public handle(message: RouterMessage, nowMs: number): readonly RouterEffect[] {
        this.receive(message, nowMs);
        return this.runSystems(nowMs);
    }

    public tick(nowMs: number): readonly RouterEffect[] {
        return this.runSystems(nowMs);
    }

    public nextTickAtMs(): number | undefined {
        return this.offerSystem.hasMore ? this.lastTickAtMs : this.state.timers.nextAtMs();
    }

    /** What all other agents gave; entries that changed since the version of an earlier call, all without one. */
    public createClaims(agentId: string, sinceVersion = 0): VersionedClaims {
        return this.state.claims.create(agentId, sinceVersion);
    }

    /** What all other agents gave one account; travels with the account's requests. */
    public findClaim(agentId: string, service: string, clientAccount: string): ServiceCounter | undefined {
        return this.state.claims.find(agentId, service, clientAccount);
    }

    /** One line per account and service with weight, service given and what this router holds. */
    public listShares(): readonly ClientShare[] {
        const { document, requests, claims } = this.state;
        if (document === undefined) {
            return [];
        }
        return Object.entries(document.clientAccounts).flatMap(([clientAccount, account]) =>
            (account.services ?? Object.keys(document.services)).map(service => {
                const count = requests.countAccountAtService(service, clientAccount);
                return {
                    clientAccount,
                    service,
                    weight: account.weight,
                    normalizedService: claims.getNormalizedService(service, clientAccount),
                    waiting: count.waiting,
                    running: count.running,
                };
            }),
        );
    }

    /** Requests that have not started. */
    public countWaiting(): number {
        return this.state.requests.total.waiting;
    }

    /** Requests that run at a target. */
    public countRunning(): number {
        return this.state.requests.total.running;
    }

    private receive(message: RouterMessage, nowMs: number): void {
        switch (message.type) {
            case "submitted":
                this.admitSystem.handleSubmitted(message.request, message.homeAgentId, nowMs);
                this.expireSystem.checkService(message.request.service, nowMs);
                break;
            case "cancelled":
                this.handleCancelled(message.requestId, nowMs);
                break;
            case "agentReported":
                this.agentViewSystem.receiveReport(message.report, nowMs);
                break;
            case "agentLost":
                this.agentViewSystem.handleLost(message.agentId, nowMs);
                break;
            case "documentAccepted":
                this.agentViewSystem.handleDocument(message.offset, message.document, nowMs);
                break;
            case "stopping":
                this.state.isStopping = true;
                break;
            default:
                this.receiveAnswer(message, nowMs);
        }
    }

    private receiveAnswer(message: AnswerMessage, nowMs: number): void {
        const entry = this.findHeld(message);
        if (entry === undefined) {
            return;
        }
        switch (message.type) {
            case "workStarted":
                this.handleStarted(entry, nowMs);
                break;
            case "workWithdrawn":
                this.retrySystem.handleWithdrawn(entry, nowMs);
                break;
            case "workDelegated":
                this.admitSystem.handleDelegated(entry, message.homeAgentId, nowMs);
                break;
            case "workRefused":
                this.retrySystem.handleRefused(entry, message.refusal, nowMs);
                break;
            case "workFailed":
                this.retrySystem.handleFailed(entry, message.execution, message.detail, nowMs);
                break;
            case "workEnded":
                this.costs.recordCost(entry.request, message.cost);
                this.state.deleteRequest(entry, nowMs);
                break;
        }
    }

    /**
     * The request that an answer is about, if the answering agent holds it by this attempt. An answer to an earlier
     * attempt would otherwise make a request look free that another agent holds, and it would run twice.
     */
    private findHeld(message: AnswerMessage): RequestEntry | undefined {
        const entry = this.state.requests.get(message.requestId);
        const isHeld = entry?.agentId === message.agentId && (message.attempt ?? entry.attempt) === entry.attempt;
        return isHeld ? entry : undefined;
    }

    private handleStarted(entry: RequestEntry, nowMs: number): void {
        if (entry.stage !== "started") {
            this.state.getDrainRate(entry.lane.key).handleStart(nowMs);
            this.state.removeFromStage(entry, nowMs);
            this.state.requests.set({ ...entry, stage: "started", withdrawReason: undefined });
        }
    }

    private handleCancelled(requestId: string, nowMs: number): void {
        const entry = this.state.requests.get(requestId);
        if (entry === undefined) {
            return;
        }
        if (entry.agentId !== undefined) {
            this.state.addEffect({ type: "cancelWork", requestId, agentId: entry.agentId });
        }
        this.state.deleteRequest(entry, nowMs);
        this.state.recordRequest("request-cancelled", entry);
    }

    private runSystems(nowMs: number): readonly RouterEffect[] {
        this.lastTickAtMs = nowMs;
        this.expireSystem.run(nowMs);
        this.offerSystem.run(nowMs);
        return this.state.takeEffects();
    }
}

type AnswerMessage = Extract<RouterMessage, { readonly type: `work${string}` }>;
