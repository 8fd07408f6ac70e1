import { SeededRandom, type Random } from "../../src/base/random.js";
import { computeModelCost } from "../../src/decisions/shares/costEstimate.js";
import { IndexedHeap } from "../../src/decisions/structures/indexedHeap.js";
import { NoopEventRecorder } from "../../src/events/fleetEvent.js";
import { AgentCore, defaultAgentOptions } from "../../src/fleet/agent/agentCore.js";
import type { AgentEffect, AgentMessage } from "../../src/fleet/agentMessages.js";
import type { AgentReport, ServiceCounter, WorkRequest } from "../../src/fleet/entities.js";
import { createDocument, createRequest } from "./agentFixtures.js";

/** What one request asks for and what it turns out to be. */
export interface Demand {
    readonly promptTokens: number;
    readonly maxTokens: number | undefined;
    readonly generatedTokens: number;
}

export interface FleetOptions {
    readonly agents: number;
    readonly maxConcurrent: number;
    readonly coldLimit: number;
    readonly weights: Readonly<Record<string, number>>;
    readonly longFromCost: number;
    readonly seed: number;
    readonly exchangeEveryMs: number;
    readonly exchangeDelayMs: number;
    readonly loss: number;
    readonly repeat: number;
    /** Units of cost that one slot works off per millisecond. */
    readonly slotRate: number;
    createDemand(request: { readonly clientAccount: string; readonly random: Random }): Demand;
}

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

interface Start {
    readonly atMs: number;
    readonly clientAccount: string;
    readonly id: string;
    readonly waitMs: number;
    readonly normalizedCost: number;
}

interface Ending {
    readonly atMs: number;
    readonly clientAccount: string;
    readonly waitMs: number;
}

interface AgentSeat {
    readonly index: number;
    core: AgentCore;
    incarnation: number;
    readonly runs: Map<string, Run>;
    /** When the news was collected that this agent saw last. */
    newsFromMs: number;
    tickAtMs: number;
}

/**
 * Drives some agents' cores by direct calls and a counted clock, with targets that work at a constant rate and one
 * exchange that may lose, repeat and delay what it carries. It is a small driver for properties, not a cluster.
 */
export class AgentFleetDriver {
    public nowMs = 0;
    public readonly starts: Start[] = [];
    public readonly refusals: Ending[] = [];
    /** Cost delivered to each account, over weight, with the part of what runs now. */
    public readonly deliveredByEndedRuns = new Map<string, number>();
    public maxStalenessMs = 0;
    /** Agents whose news the exchange cannot reach just now. */
    public readonly partitionedAgents = new Set<number>();
    private readonly chargedByGone = new Map<string, number>();
    private readonly seats: AgentSeat[];
    private readonly random: Random;
    private readonly events = new IndexedHeap<number>();
    private readonly actions = new Map<number, () => void>();
    private readonly requests = new Map<string, { readonly request: WorkRequest; readonly demand: Demand }>();
    private readonly counters = new Map<string, Map<string, ServiceCounter>>();
    private readonly backlog = new Map<string, ReadonlySet<number>>();
    private nextEvent = 0;
    private nextRequest = 0;
    private readonly choices: FleetOptions;

    public constructor(choices: Partial<FleetOptions>) {
        this.choices = { ...defaultFleetOptions, ...choices };
        this.random = new SeededRandom(this.choices.seed);
        this.seats = [...Array(this.choices.agents).keys()].map(index => ({
            index,
            core: this.createCore(index, 1),
            incarnation: 1,
            runs: new Map<string, Run>(),
            newsFromMs: 0,
            tickAtMs: Number.POSITIVE_INFINITY,
        }));
        this.seats.forEach(seat => this.openSeat(seat));
        this.addEvent(this.choices.exchangeEveryMs, () => this.runExchange());
    }

    /** Keeps two requests of the account waiting at each of the agents (all when left out). */
    public startBacklog(clientAccount: string, agents?: readonly number[]): void {
        this.backlog.set(clientAccount, new Set(agents ?? this.seats.map(seat => seat.index)));
        this.seats.forEach(seat => this.addBacklog(seat, clientAccount));
    }

    public stopBacklog(clientAccount: string): void {
        this.backlog.delete(clientAccount);
    }

    /** Offers one request; returns its id. */
    public offerRequest(agent: number, clientAccount: string, changes: Partial<WorkRequest> = {}): string {
        const demand = this.choices.createDemand({ clientAccount, random: this.random });
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
        this.send(this.getAgent(agent), { type: "workOffered", request, routerId: "r1" });
        return id;
    }

    /** Replaces an agent's process by one without state; what ran there breaks off. */
    public startAgainWithoutState(agent: number): void {
        const seat = this.getAgent(agent);
        for (const run of seat.runs.values()) {
            this.addDelivered(run, this.nowMs);
        }
        seat.runs.clear();
        for (const clientAccount of Object.keys(this.choices.weights)) {
            const charged = (this.chargedByGone.get(clientAccount) ?? 0) + getOwnCharge(seat.core, clientAccount);
            this.chargedByGone.set(clientAccount, charged);
        }
        seat.incarnation += 1;
        seat.core = this.createCore(agent, seat.incarnation);
        seat.newsFromMs = this.nowMs;
        this.openSeat(seat);
        for (const clientAccount of this.backlog.keys()) {
            this.addBacklog(seat, clientAccount);
        }
    }

    /** Lets time pass; `observe` is called every `everyMs`. */
    public advance(ms: number, everyMs = ms, observe: () => void = () => undefined): void {
        const untilMs = this.nowMs + ms;
        for (let stopMs = this.nowMs + everyMs; stopMs <= untilMs; stopMs += everyMs) {
            this.runUntil(stopMs);
            observe();
        }
        this.runUntil(untilMs);
    }

    /** Service delivered so far over weight, with what running requests have had. */
    public getDelivered(clientAccount: string): number {
        let delivered = this.deliveredByEndedRuns.get(clientAccount) ?? 0;
        for (const seat of this.seats) {
            for (const run of seat.runs.values()) {
                if (run.request.clientAccount === clientAccount) {
                    delivered += this.computeDelivered(run, this.nowMs);
                }
            }
        }
        return delivered;
    }

    /** Cost of what an account has running, over weight: charged, but not yet delivered, or the other way round. */
    public getOutstanding(clientAccount: string): number {
        let cost = 0;
        for (const seat of this.seats) {
            for (const run of seat.runs.values()) {
                if (run.request.clientAccount === clientAccount) {
                    cost += run.cost;
                }
            }
        }
        return cost / this.getWeight(clientAccount);
    }

    /** Slots inside the windows that stand free while something waits at that agent. */
    public countIdleSlots(): number {
        return this.seats.reduce((sum, seat) => {
            const report = seat.core.createBriefReport();
            return sum + (report.queued > 0 ? Math.max(0, report.window - report.running) : 0);
        }, 0);
    }

    /** Sum of the windows. */
    public countSlots(): number {
        return this.seats.reduce((sum, seat) => sum + seat.core.createBriefReport().window, 0);
    }

    /** What all agents, also those that are gone, have charged an account, over weight. */
    public getCharged(clientAccount: string): number {
        let charged = this.chargedByGone.get(clientAccount) ?? 0;
        for (const seat of this.seats) {
            charged += getOwnCharge(seat.core, clientAccount);
        }
        return charged;
    }

    public send(seat: AgentSeat, message: AgentMessage): void {
        this.applyEffects(seat, seat.core.handle(message, this.nowMs));
    }

    public getAgent(agent: number): AgentSeat {
        const seat = this.seats[agent];
        if (seat === undefined) {
            throw new Error(`no agent ${agent}`);
        }
        return seat;
    }

    private getWeight(clientAccount: string): number {
        return this.choices.weights[clientAccount] ?? 1;
    }

    private createCore(index: number, incarnation: number): AgentCore {
        const identity = {
            agentId: `agent-${index}`,
            incarnation,
            targetName: "t1",
            dataCentre: "gt-a",
            services: ["planner"],
        };
        const random = new SeededRandom(this.choices.seed + index);
        return new AgentCore(identity, defaultAgentOptions, new NoopEventRecorder(), random);
    }

    private openSeat(seat: AgentSeat): void {
        const { weights, maxConcurrent, coldLimit, longFromCost } = this.choices;
        const document = createDocument({ weights, maxConcurrent, coldLimit, longFromCost });
        this.send(seat, { type: "documentAccepted", offset: 1, document });
        for (const afterMs of [2_100, 2_200]) {
            this.addEvent(afterMs, () =>
                this.send(seat, { type: "targetReported", cold: false, running: 0, waiting: 0 }),
            );
        }
    }

    private addBacklog(seat: AgentSeat, clientAccount: string): void {
        if (this.backlog.get(clientAccount)?.has(seat.index) !== true) {
            return;
        }
        const share = seat.core.listShares().find(entry => entry.clientAccount === clientAccount);
        for (let waiting = share?.waiting ?? 0; waiting < 2; waiting += 1) {
            this.offerRequest(seat.index, clientAccount);
        }
    }

    private applyEffects(seat: AgentSeat, effects: readonly AgentEffect[]): void {
        const refill = new Set<string>();
        for (const effect of effects) {
            const known = this.requests.get(effect.requestId);
            if (known === undefined) {
                continue;
            }
            const { clientAccount } = known.request;
            if (effect.type === "startWork") {
                this.startRun(seat, known.request, known.demand);
                refill.add(clientAccount);
            } else if (effect.type === "refuseWork") {
                const waitMs = this.nowMs - known.request.arrivedAtMs;
                this.refusals.push({ atMs: this.nowMs, clientAccount, waitMs });
            }
        }
        this.updateTimer(seat);
        refill.forEach(clientAccount => this.addBacklog(seat, clientAccount));
    }

    private startRun(seat: AgentSeat, request: WorkRequest, demand: Demand): void {
        const cost = computeModelCost(demand.promptTokens, demand.generatedTokens);
        const { nowMs } = this;
        const durationMs = Math.max(1, cost / this.choices.slotRate);
        const run = { request, cost, demand, startedAtMs: nowMs, endsAtMs: nowMs + durationMs };
        seat.runs.set(request.id, run);
        if (this.seats.length > 1) {
            this.maxStalenessMs = Math.max(this.maxStalenessMs, nowMs - seat.newsFromMs);
        }
        this.starts.push({
            atMs: nowMs,
            clientAccount: request.clientAccount,
            id: request.id,
            waitMs: nowMs - request.arrivedAtMs,
            normalizedCost: cost / this.getWeight(request.clientAccount),
        });
        const firstOutputMs = Math.min(durationMs, 20 + demand.promptTokens / 10);
        this.addEvent(firstOutputMs, () => this.sendOutput(seat, run));
        this.addEvent(durationMs * 0.6, () => this.sendProgress(seat, run));
        this.addEvent(durationMs, () => this.stopRun(seat, run));
    }

    private sendOutput(seat: AgentSeat, run: Run): void {
        if (seat.runs.get(run.request.id) === run) {
            this.send(seat, { type: "firstOutput", requestId: run.request.id });
        }
    }

    private sendProgress(seat: AgentSeat, run: Run): void {
        if (seat.runs.get(run.request.id) === run) {
            const tokens = Math.floor(run.demand.generatedTokens / 2);
            this.send(seat, { type: "progressed", requestId: run.request.id, tokens });
        }
    }

    private stopRun(seat: AgentSeat, run: Run): void {
        if (seat.runs.get(run.request.id) !== run) {
            return;
        }
        seat.runs.delete(run.request.id);
        this.addDelivered(run, this.nowMs);
        const { promptTokens, generatedTokens } = run.demand;
        const requestId = run.request.id;
        this.send(seat, { type: "runEnded", requestId, outcome: "completed", promptTokens, generatedTokens });
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

    /** One round of the exchange: reads every agent's report, and sends each agent the sums over all others. */
    private runExchange(): void {
        const reachable = this.seats.filter(seat => !this.partitionedAgents.has(seat.index));
        for (const seat of reachable) {
            this.mergeReport(seat.core.createReport(undefined));
        }
        for (const seat of reachable) {
            this.sendClaims(seat);
        }
        this.addEvent(this.choices.exchangeEveryMs, () => this.runExchange());
    }

    private mergeReport(report: AgentReport): void {
        const key = `${report.identity.agentId}/${report.identity.incarnation}`;
        const known = this.counters.get(key) ?? new Map<string, ServiceCounter>();
        report.counters.forEach(counter => known.set(counter.clientAccount, counter));
        this.counters.set(key, known);
    }

    private sendClaims(seat: AgentSeat): void {
        const claims = this.computeOthers(`agent-${seat.index}/${seat.incarnation}`);
        const collectedAtMs = this.nowMs;
        const { incarnation } = seat;
        const copies =
            (this.random.next() < this.choices.loss ? 0 : 1) + (this.random.next() < this.choices.repeat ? 1 : 0);
        for (let copy = 0; copy < copies; copy += 1) {
            const delayMs = this.choices.exchangeDelayMs * (0.5 + this.random.next() + 4 * copy);
            this.addEvent(delayMs, () => {
                if (seat.incarnation === incarnation) {
                    seat.newsFromMs = Math.max(seat.newsFromMs, collectedAtMs);
                    this.send(seat, { type: "claimsReceived", routerId: "r1", claims });
                }
            });
        }
    }

    private computeOthers(own: string): readonly ServiceCounter[] {
        const sums = new Map<string, ServiceCounter>();
        for (const [key, counters] of this.counters) {
            for (const counter of key === own ? [] : counters.values()) {
                const sum = sums.get(counter.clientAccount);
                sums.set(counter.clientAccount, {
                    ...counter,
                    charged: (sum?.charged ?? 0) + counter.charged,
                    refunded: (sum?.refunded ?? 0) + counter.refunded,
                    lift: Math.max(sum?.lift ?? 0, counter.lift),
                });
            }
        }
        return [...sums.values()];
    }

    private updateTimer(seat: AgentSeat): void {
        const dueAtMs = seat.core.nextTickAtMs();
        if (dueAtMs === undefined || dueAtMs >= seat.tickAtMs || dueAtMs > Number.MAX_SAFE_INTEGER / 2) {
            return;
        }
        seat.tickAtMs = dueAtMs;
        this.addEvent(Math.max(0, dueAtMs - this.nowMs), () => {
            seat.tickAtMs = Number.POSITIVE_INFINITY;
            this.applyEffects(seat, seat.core.tick(this.nowMs));
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
