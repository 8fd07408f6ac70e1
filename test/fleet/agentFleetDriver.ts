import { SeededRandom, type Random } from "../../src/base/random.js";
import { computeModelCost } from "../../src/decisions/shares/costEstimate.js";
import { IndexedHeap } from "../../src/decisions/structures/indexedHeap.js";
import { NoopEventRecorder } from "../../src/events/fleetEvent.js";
import { AgentCore, defaultAgentOptions } from "../../src/fleet/agent/agentCore.js";
import type { AgentEffect, AgentMessage } from "../../src/fleet/agentMessages.js";
import type { AgentReport, ServiceCounter, WorkRequest } from "../../src/fleet/entities.js";
import { createDocument, createRequest } from "./agentFixtures.js";

/** Tokens that one request declares, and the tokens that it generates when run. */
export interface Demand {
    readonly promptTokens: number;
    readonly maxTokens: number | undefined;
    readonly generatedTokens: number;
}

/** Options of the simulated fleet. */
export interface FleetOptions {
    readonly agents: number;
    readonly maxConcurrent: number;
    readonly coldLimit: number;
    readonly weights: Readonly<Record<string, number>>;
    readonly longFromCost: number;
    readonly seed: number;
    readonly exchangeEveryMs: number;
    readonly exchangeDelayMs: number;
    /** Probability that an exchange's message to one agent is lost; 0 to 1. */
    readonly loss: number;
    /** Probability that an exchange's message to one agent is sent once more; 0 to 1. */
    readonly repeat: number;
    /** Units of cost that one slot processes per millisecond. */
    readonly slotRate: number;
    createDemand(request: { readonly clientAccount: string; readonly random: Random }): Demand;
}

/** Options used where a test sets none. */
export const defaultFleetOptions: FleetOptions = {
    agents: 4,
    maxConcurrent: 8,
    coldLimit: 2,
    weights: { department: 16, middle: 4, club: 1 },
    longFromCost: Number.MAX_VALUE,
    seed: 1,
    exchangeEveryMs: 250,
    exchangeDelayMs: 20,
    loss: 0,
    repeat: 0,
    slotRate: 1,
    createDemand: () => ({ promptTokens: 100, maxTokens: 100, generatedTokens: 100 }),
};

interface Run {
    readonly request: WorkRequest;
    readonly cost: number;
    readonly demand: Demand;
    readonly startedAtMs: number;
    readonly endsAtMs: number;
}

interface StartRecord {
    readonly atMs: number;
    readonly clientAccount: string;
    readonly id: string;
    readonly waitMs: number;
    readonly normalizedCost: number;
}

interface RefusalRecord {
    readonly atMs: number;
    readonly clientAccount: string;
    readonly waitMs: number;
}

interface SimulatedAgent {
    readonly index: number;
    core: AgentCore;
    incarnation: number;
    readonly runs: Map<string, Run>;
    /** Time at which the latest claims received by this agent were collected; milliseconds. */
    claimsCollectedAtMs: number;
    tickAtMs: number;
}

/**
 * Drives the cores of several agents by direct calls and a simulated clock, with targets that work at a constant rate
 * and one exchange that may lose, repeat and delay messages. It is a small driver for property tests and simulates no
 * cluster.
 */
export class AgentFleetDriver {
    public nowMs = 0;
    public readonly starts: StartRecord[] = [];
    public readonly refusals: RefusalRecord[] = [];
    /** Cost delivered by ended runs to each account, divided by weight. */
    public readonly deliveredByEndedRuns = new Map<string, number>();
    public maxStalenessMs = 0;
    /** Indexes of agents that the exchange cannot reach at present. */
    public readonly partitionedAgents = new Set<number>();
    private readonly chargedByReplacedAgents = new Map<string, number>();
    private readonly simulatedAgents: SimulatedAgent[];
    private readonly random: Random;
    private readonly events = new IndexedHeap<number>();
    private readonly actions = new Map<number, () => void>();
    private readonly requests = new Map<string, { readonly request: WorkRequest; readonly demand: Demand }>();
    private readonly counters = new Map<string, Map<string, ServiceCounter>>();
    private readonly backlog = new Map<string, ReadonlySet<number>>();
    private nextEvent = 0;
    private nextRequest = 0;
    private readonly options: FleetOptions;

    public constructor(options: Partial<FleetOptions>) {
        this.options = { ...defaultFleetOptions, ...options };
        this.random = new SeededRandom(this.options.seed);
        this.simulatedAgents = [...Array(this.options.agents).keys()].map(index => ({
            index,
            core: this.createCore(index, 1),
            incarnation: 1,
            runs: new Map<string, Run>(),
            claimsCollectedAtMs: 0,
            tickAtMs: Number.POSITIVE_INFINITY,
        }));
        this.simulatedAgents.forEach(agent => this.startAgent(agent));
        this.addEvent(this.options.exchangeEveryMs, () => this.runExchange());
    }

    /** Keeps two requests of the account waiting at each of the agents (by default all). */
    public startBacklog(clientAccount: string, agentIndexes?: readonly number[]): void {
        this.backlog.set(clientAccount, new Set(agentIndexes ?? this.simulatedAgents.map(agent => agent.index)));
        this.simulatedAgents.forEach(agent => this.addBacklog(agent, clientAccount));
    }

    public stopBacklog(clientAccount: string): void {
        this.backlog.delete(clientAccount);
    }

    /** Offers one request; returns its id. */
    public offerRequest(agentIndex: number, clientAccount: string, changes: Partial<WorkRequest> = {}): string {
        const demand = this.options.createDemand({ clientAccount, random: this.random });
        const id = `${clientAccount}-${this.nextRequest}`;
        this.nextRequest += 1;
        const { promptTokens, maxTokens } = demand;
        const request = createRequest(id, {
            clientAccount,
            promptTokens,
            maxTokens,
            arrivedAtMs: this.nowMs,
            deadlineAtMs: Number.MAX_SAFE_INTEGER,
            ...changes,
        });
        this.requests.set(id, { request, demand });
        this.send(this.getAgent(agentIndex), { type: "workOffered", request, routerId: "r1" });
        return id;
    }

    /** Replaces an agent's process by one without state; its runs are aborted. */
    public startAgainWithoutState(agentIndex: number): void {
        const agent = this.getAgent(agentIndex);
        for (const run of agent.runs.values()) {
            this.addDelivered(run, this.nowMs);
        }
        agent.runs.clear();
        for (const clientAccount of Object.keys(this.options.weights)) {
            const charged =
                (this.chargedByReplacedAgents.get(clientAccount) ?? 0) + getOwnCharge(agent.core, clientAccount);
            this.chargedByReplacedAgents.set(clientAccount, charged);
        }
        agent.incarnation += 1;
        agent.core = this.createCore(agentIndex, agent.incarnation);
        agent.claimsCollectedAtMs = this.nowMs;
        this.startAgent(agent);
        for (const clientAccount of this.backlog.keys()) {
            this.addBacklog(agent, clientAccount);
        }
    }

    /** Advances the clock by `ms`; calls `observe` every `everyMs`. */
    public advance(ms: number, everyMs = ms, observe: () => void = () => undefined): void {
        const untilMs = this.nowMs + ms;
        for (let sampleAtMs = this.nowMs + everyMs; sampleAtMs <= untilMs; sampleAtMs += everyMs) {
            this.runUntil(sampleAtMs);
            observe();
        }
        this.runUntil(untilMs);
    }

    /** Service delivered so far divided by weight, including the part delivered to running requests. */
    public getDelivered(clientAccount: string): number {
        let delivered = this.deliveredByEndedRuns.get(clientAccount) ?? 0;
        for (const agent of this.simulatedAgents) {
            for (const run of agent.runs.values()) {
                if (run.request.clientAccount === clientAccount) {
                    delivered += this.computeDelivered(run, this.nowMs);
                }
            }
        }
        return delivered;
    }

    /** Cost of an account's running requests divided by weight, by which charged and delivered service may differ. */
    public getOutstanding(clientAccount: string): number {
        let cost = 0;
        for (const agent of this.simulatedAgents) {
            for (const run of agent.runs.values()) {
                if (run.request.clientAccount === clientAccount) {
                    cost += run.cost;
                }
            }
        }
        return cost / this.getWeight(clientAccount);
    }

    /** Counts free slots within the windows of agents that have waiting requests. */
    public countIdleSlots(): number {
        return this.simulatedAgents.reduce((sum, agent) => {
            const report = agent.core.createBriefReport();
            return sum + (report.queued > 0 ? Math.max(0, report.window - report.running) : 0);
        }, 0);
    }

    /** Counts the slots within the windows of all agents. */
    public countSlots(): number {
        return this.simulatedAgents.reduce((sum, agent) => sum + agent.core.createBriefReport().window, 0);
    }

    /** Service charged to an account by all agents, including replaced ones, divided by weight. */
    public getCharged(clientAccount: string): number {
        let charged = this.chargedByReplacedAgents.get(clientAccount) ?? 0;
        for (const agent of this.simulatedAgents) {
            charged += getOwnCharge(agent.core, clientAccount);
        }
        return charged;
    }

    public send(agent: SimulatedAgent, message: AgentMessage): void {
        this.applyEffects(agent, agent.core.handle(message, this.nowMs));
    }

    public getAgent(agentIndex: number): SimulatedAgent {
        const agent = this.simulatedAgents[agentIndex];
        if (agent === undefined) {
            throw new Error(`Unknown agent index ${agentIndex}`);
        }
        return agent;
    }

    private getWeight(clientAccount: string): number {
        return this.options.weights[clientAccount] ?? 1;
    }

    private createCore(index: number, incarnation: number): AgentCore {
        const identity = {
            agentId: `agent-${index}`,
            incarnation,
            targetName: "t1",
            dataCentre: "gt-a",
            services: ["planner"],
        };
        const random = new SeededRandom(this.options.seed + index);
        return new AgentCore(identity, defaultAgentOptions, new NoopEventRecorder(), random);
    }

    private startAgent(agent: SimulatedAgent): void {
        const { weights, maxConcurrent, coldLimit, longFromCost } = this.options;
        const document = createDocument({ weights, maxConcurrent, coldLimit, longFromCost });
        this.send(agent, { type: "documentAccepted", offset: 1, document });
        for (const afterMs of [2_100, 2_200]) {
            this.addEvent(afterMs, () =>
                this.send(agent, { type: "targetReported", cold: false, running: 0, waiting: 0 }),
            );
        }
    }

    private addBacklog(agent: SimulatedAgent, clientAccount: string): void {
        if (this.backlog.get(clientAccount)?.has(agent.index) !== true) {
            return;
        }
        const share = agent.core.listShares().find(entry => entry.clientAccount === clientAccount);
        for (let waiting = share?.waiting ?? 0; waiting < 2; waiting += 1) {
            this.offerRequest(agent.index, clientAccount);
        }
    }

    private applyEffects(agent: SimulatedAgent, effects: readonly AgentEffect[]): void {
        const accountsToRefill = new Set<string>();
        for (const effect of effects) {
            const offered = this.requests.get(effect.requestId);
            if (offered === undefined) {
                continue;
            }
            const { clientAccount } = offered.request;
            if (effect.type === "startWork") {
                this.startRun(agent, offered.request, offered.demand);
                accountsToRefill.add(clientAccount);
            } else if (effect.type === "refuseWork") {
                const waitMs = this.nowMs - offered.request.arrivedAtMs;
                this.refusals.push({ atMs: this.nowMs, clientAccount, waitMs });
            }
        }
        this.updateTimer(agent);
        accountsToRefill.forEach(clientAccount => this.addBacklog(agent, clientAccount));
    }

    private startRun(agent: SimulatedAgent, request: WorkRequest, demand: Demand): void {
        const cost = computeModelCost(demand.promptTokens, demand.generatedTokens);
        const { nowMs } = this;
        const durationMs = Math.max(1, cost / this.options.slotRate);
        const run = { request, cost, demand, startedAtMs: nowMs, endsAtMs: nowMs + durationMs };
        agent.runs.set(request.id, run);
        if (this.simulatedAgents.length > 1) {
            this.maxStalenessMs = Math.max(this.maxStalenessMs, nowMs - agent.claimsCollectedAtMs);
        }
        this.starts.push({
            atMs: nowMs,
            clientAccount: request.clientAccount,
            id: request.id,
            waitMs: nowMs - request.arrivedAtMs,
            normalizedCost: cost / this.getWeight(request.clientAccount),
        });
        const firstOutputMs = Math.min(durationMs, 20 + demand.promptTokens / 10);
        this.addEvent(firstOutputMs, () => this.sendOutput(agent, run));
        this.addEvent(durationMs * 0.6, () => this.sendProgress(agent, run));
        this.addEvent(durationMs, () => this.stopRun(agent, run));
    }

    private sendOutput(agent: SimulatedAgent, run: Run): void {
        if (agent.runs.get(run.request.id) === run) {
            this.send(agent, { type: "firstOutput", requestId: run.request.id });
        }
    }

    private sendProgress(agent: SimulatedAgent, run: Run): void {
        if (agent.runs.get(run.request.id) === run) {
            const tokens = Math.floor(run.demand.generatedTokens / 2);
            this.send(agent, { type: "progressed", requestId: run.request.id, tokens });
        }
    }

    private stopRun(agent: SimulatedAgent, run: Run): void {
        if (agent.runs.get(run.request.id) !== run) {
            return;
        }
        agent.runs.delete(run.request.id);
        this.addDelivered(run, this.nowMs);
        const { promptTokens, generatedTokens } = run.demand;
        const requestId = run.request.id;
        this.send(agent, { type: "runEnded", requestId, outcome: "completed", promptTokens, generatedTokens });
    }

    private addDelivered(run: Run, atMs: number): void {
        const { clientAccount } = run.request;
        this.deliveredByEndedRuns.set(
            clientAccount,
            (this.deliveredByEndedRuns.get(clientAccount) ?? 0) + this.computeDelivered(run, atMs),
        );
    }

    private computeDelivered(run: Run, atMs: number): number {
        const share = Math.min(1, (atMs - run.startedAtMs) / (run.endsAtMs - run.startedAtMs));
        return (share * run.cost) / this.getWeight(run.request.clientAccount);
    }

    /** Runs one exchange: merges the reports of all agents, and sends each agent the totals over all others. */
    private runExchange(): void {
        const reachable = this.simulatedAgents.filter(agent => !this.partitionedAgents.has(agent.index));
        for (const agent of reachable) {
            this.mergeReport(agent.core.createReport(undefined));
        }
        for (const agent of reachable) {
            this.sendClaims(agent);
        }
        this.addEvent(this.options.exchangeEveryMs, () => this.runExchange());
    }

    private mergeReport(report: AgentReport): void {
        const key = `${report.identity.agentId}/${report.identity.incarnation}`;
        const agentCounters = this.counters.get(key) ?? new Map<string, ServiceCounter>();
        report.counters.forEach(counter => agentCounters.set(counter.clientAccount, counter));
        this.counters.set(key, agentCounters);
    }

    private sendClaims(agent: SimulatedAgent): void {
        const claims = this.computeClaims(`agent-${agent.index}/${agent.incarnation}`);
        const collectedAtMs = this.nowMs;
        const { incarnation } = agent;
        const copies =
            (this.random.next() < this.options.loss ? 0 : 1) + (this.random.next() < this.options.repeat ? 1 : 0);
        for (let copy = 0; copy < copies; copy += 1) {
            const delayMs = this.options.exchangeDelayMs * (0.5 + this.random.next() + 4 * copy);
            this.addEvent(delayMs, () => {
                if (agent.incarnation === incarnation) {
                    agent.claimsCollectedAtMs = Math.max(agent.claimsCollectedAtMs, collectedAtMs);
                    this.send(agent, { type: "claimsReceived", routerId: "r1", claims });
                }
            });
        }
    }

    private computeClaims(ownKey: string): readonly ServiceCounter[] {
        const totals = new Map<string, ServiceCounter>();
        for (const [key, counters] of this.counters) {
            for (const counter of key === ownKey ? [] : counters.values()) {
                const total = totals.get(counter.clientAccount);
                totals.set(counter.clientAccount, {
                    ...counter,
                    charged: (total?.charged ?? 0) + counter.charged,
                    refunded: (total?.refunded ?? 0) + counter.refunded,
                    lift: Math.max(total?.lift ?? 0, counter.lift),
                });
            }
        }
        return [...totals.values()];
    }

    private updateTimer(agent: SimulatedAgent): void {
        const dueAtMs = agent.core.nextTickAtMs();
        if (dueAtMs === undefined || dueAtMs >= agent.tickAtMs || dueAtMs > Number.MAX_SAFE_INTEGER / 2) {
            return;
        }
        agent.tickAtMs = dueAtMs;
        this.addEvent(Math.max(0, dueAtMs - this.nowMs), () => {
            agent.tickAtMs = Number.POSITIVE_INFINITY;
            this.applyEffects(agent, agent.core.tick(this.nowMs));
        });
    }

    private addEvent(afterMs: number, action: () => void): void {
        const id = this.nextEvent;
        this.nextEvent += 1;
        this.actions.set(id, action);
        this.events.set(id, this.nowMs + afterMs);
    }

    private runUntil(untilMs: number): void {
        let next = this.events.getMin();
        while (next !== undefined && next.priority <= untilMs) {
            this.events.remove(next.key);
            this.nowMs = Math.max(this.nowMs, next.priority);
            const action = this.actions.get(next.key);
            this.actions.delete(next.key);
            action?.();
            next = this.events.getMin();
        }
        this.nowMs = untilMs;
    }
}

function getOwnCharge(core: AgentCore, clientAccount: string): number {
    const counter = core.createReport(undefined).counters.find(entry => entry.clientAccount === clientAccount);
    return counter === undefined ? 0 : counter.charged - counter.refunded;
}
