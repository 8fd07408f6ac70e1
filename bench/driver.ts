import { SeededRandom } from "../src/base/random.js";
import { IndexedHeap } from "../src/decisions/indexedHeap.js";
import type { EnvironmentDocument } from "../src/document/schema.js";
import type { AgentEffect, AgentMessage, RunOutcome } from "../src/fleet/agentMessages.js";
import type { AgentIdentity } from "../src/fleet/entities.js";
import type { RouterEffect, RouterMessage } from "../src/fleet/routerMessages.js";
import { createArrivals, type Arrival } from "./arrivals.js";
import { createDocument } from "./document.js";
import { Engine, type EngineEvent } from "./engine.js";
import { exchangeEveryMs, Metrics, outBoundMs, waitingAfterMs, type Figures } from "./metrics.js";
import type { Fault, Scenario } from "./scenario.js";
import type { BenchAgent, BenchRouter, BenchSystem } from "./system.js";

interface RouterNode {
    readonly id: string;
    readonly dataCentre: string;
    readonly core: BenchRouter;
}

interface AgentNode {
    readonly identity: AgentIdentity;
    readonly core: BenchAgent;
    readonly engine: Engine;
    readonly attempts: Map<string, Attempt>;
    hadRoom: boolean;
    announcedAtMs: number;
    outSinceMs: number | undefined;
}

/** One sendWork and its connection. */
interface Attempt {
    readonly arrival: Arrival;
    readonly router: RouterNode;
    readonly number: number;
    hasOutput: boolean;
    isStarted: boolean;
}

/** What a (router, agent) pair has acknowledged. */
interface Link {
    claimVersion: number;
    reportSequence: number | undefined;
    heardAtMs: number;
    isLost: boolean;
}

/** An agent tells of room at most this often, and each router at once. */
const announceEveryMs = 100;
/** Time passes between two ticks, as on a real clock; rounding could otherwise set one timer for the same time for ever. */
const leastTickMs = 0.1;
/** An agent that was not heard for this long is lost. */
const leaseMs = 3_000;
/** A broken connection is noticed after this. */
const resetNoticedMs = 1_000;
/** Engines report their load this often, and this late. */
const engineReportEveryMs = 1_000;
const engineReportLagMs = 1_000;
const sampleEveryMs = 100;
/** HTTP heads and framing of one control message. */
const messageOverheadBytes = 120;
/** A daemon reads an accepted document from the log within this time. */
const documentDelayMs = 500;
/** Open requests get this long after the last arrival. */
const drainForMs = 120_000;

/** Runs one scenario against one system with a fake clock: an event heap and direct calls, no network. */
export class Driver {
    private readonly events = new IndexedHeap<() => void>();
    private readonly routers: readonly RouterNode[];
    private readonly agents: readonly AgentNode[];
    private readonly links = new Map<string, Link>();
    private readonly metrics: Metrics;
    private readonly random: SeededRandom;
    private readonly agentsById: ReadonlyMap<string, AgentNode>;
    private readonly open = new Map<string, Arrival>();
    private readonly ticks = new Map<object, number>();
    private cutDataCentre: string | undefined;
    private document: EnvironmentDocument;
    private documentOffset = 0;
    private nowMs = 0;

    public constructor(
        private readonly scenario: Scenario,
        private readonly system: BenchSystem,
        private readonly seed: number,
    ) {
        this.random = new SeededRandom(seed * 7_919 + 1);
        this.metrics = new Metrics(scenario);
        this.document = createDocument(scenario);
        this.routers = scenario.routerDataCentres.map((dataCentre, index) => {
            const id = `router-${index + 1}`;
            return { id, dataCentre, core: system.createRouter(id, dataCentre, new SeededRandom(seed * 31 + index)) };
        });
        this.agents = scenario.agentDataCentres.map((dataCentre, index) => this.createAgent(dataCentre, index));
        this.agentsById = new Map(this.agents.map(agent => [agent.identity.agentId, agent]));
    }

    /** The figures of the whole run. */
    public run(): Figures {
        this.sendDocument(0);
        this.connectAll();
        for (const arrival of createArrivals(this.scenario, new SeededRandom(this.seed))) {
            this.addAt(arrival.request.arrivedAtMs, () => this.handleArrival(arrival));
        }
        for (const fault of this.scenario.faults) {
            this.addAt(fault.atMs, () => this.applyFault(fault));
        }
        this.addEvery(sampleEveryMs, 0, () => this.metrics.takeSample(this.nowMs));
        const endMs = this.scenario.untilMs + drainForMs;
        for (let next = this.events.getLeast(); next !== undefined; next = this.events.getLeast()) {
            const isOver = next.priority > this.scenario.untilMs && this.open.size === 0;
            if (next.priority > endMs || isOver) {
                break;
            }
            this.events.remove(next.key);
            this.nowMs = Math.max(this.nowMs, next.priority);
            next.key();
        }
        return this.metrics.getFigures(this.system.name, this.nowMs);
    }

    private createAgent(dataCentre: string, index: number): AgentNode {
        const agentId = `t${index + 1}`;
        const identity = { agentId, incarnation: 1, targetName: agentId, dataCentre, services: ["model"] };
        return {
            identity,
            core: this.system.createAgent(identity, new SeededRandom(this.seed * 37 + index)),
            engine: new Engine(this.scenario.engine),
            attempts: new Map(),
            hadRoom: false,
            announcedAtMs: 0,
            outSinceMs: undefined,
        };
    }

    private connectAll(): void {
        this.agents.forEach((agent, agentIndex) => {
            this.addEvery(engineReportEveryMs, agentIndex, () => this.reportLoad(agent));
            this.routers.forEach((router, routerIndex) => {
                const link = { claimVersion: 0, reportSequence: undefined, heardAtMs: 0, isLost: false };
                this.links.set(`${router.id} ${agent.identity.agentId}`, link);
                if (this.system.hasExchange) {
                    const offsetMs = ((routerIndex * 131 + agentIndex * 71) % 97) * (exchangeEveryMs / 97);
                    this.addEvery(exchangeEveryMs, offsetMs, () => this.startExchange(router, agent));
                }
                this.sendReport(router, agent, 1);
            });
        });
    }

    // ---- callers

    private handleArrival(arrival: Arrival): void {
        const { id } = arrival.request;
        this.open.set(id, arrival);
        this.metrics.recordArrival(arrival);
        this.addAfter(waitingAfterMs, () => this.metrics.recordStillOpen(id, this.nowMs));
        this.addAfter(this.scenario.callerTripMs, () =>
            this.sendToRouter(this.routers[arrival.routerIndex]!, { type: "submitted", request: arrival.request }),
        );
    }

    private handleOutcome(requestId: string, outcome: "completed" | "refused"): void {
        this.open.delete(requestId);
        this.metrics.recordOutcome(requestId, outcome, this.nowMs);
    }

    // ---- routers

    private sendToRouter(router: RouterNode, message: RouterMessage): void {
        this.handleRouterEffects(router, router.core.handle(message, this.nowMs));
        this.setTick(router.core, effects => this.handleRouterEffects(router, effects));
    }

    private handleRouterEffects(router: RouterNode, effects: readonly RouterEffect[]): void {
        for (const effect of effects) {
            if (effect.type === "refuse") {
                this.handleOutcome(effect.requestId, "refused");
            } else if (effect.type === "sendWork") {
                this.sendWork(router, this.agentsById.get(effect.agentId)!, effect.requestId, effect.attempt);
            } else {
                this.sendOrder(router, this.agentsById.get(effect.agentId)!, effect.requestId, effect.type);
            }
        }
    }

    private sendWork(router: RouterNode, agent: AgentNode, requestId: string, number: number): void {
        const arrival = this.open.get(requestId);
        if (arrival === undefined) {
            return;
        }
        const attempt: Attempt = { arrival, router, number, hasOutput: false, isStarted: false };
        if (!this.canReach(router, agent)) {
            this.addAfter(resetNoticedMs, () => this.handleBroken(agent, attempt, "not-run"));
            return;
        }
        this.addAfter(this.getTripMs(router, agent), () => {
            agent.attempts.set(requestId, attempt);
            this.sendToAgent(agent, { type: "workOffered", request: arrival.request, routerId: router.id });
            // The frame that says "queued" carries a report, so that the router learns that it chose a busy target.
            if (this.system.hasExchange && agent.attempts.get(requestId) === attempt && !attempt.isStarted) {
                this.sendReport(router, agent, 0);
            }
        });
    }

    private sendOrder(
        router: RouterNode,
        agent: AgentNode,
        requestId: string,
        type: "withdrawWork" | "cancelWork",
    ): void {
        this.metrics.recordControl(messageOverheadBytes + requestId.length);
        this.addReachable(router, agent, () =>
            this.sendToAgent(
                agent,
                type === "withdrawWork"
                    ? { type: "withdrawRequested", requestId }
                    : { type: "workCancelled", requestId },
            ),
        );
    }

    // ---- agents

    private sendToAgent(agent: AgentNode, message: AgentMessage): void {
        this.handleAgentEffects(agent, agent.core.handle(message, this.nowMs));
        this.setTick(agent.core, effects => this.handleAgentEffects(agent, effects));
        this.sendRoom(agent);
    }

    private handleAgentEffects(agent: AgentNode, effects: readonly AgentEffect[]): void {
        for (const effect of effects) {
            const attempt = agent.attempts.get(effect.requestId);
            if (attempt === undefined) {
                continue;
            }
            switch (effect.type) {
                case "startWork":
                    this.sendAnswer(agent, attempt, { type: "workStarted" });
                    this.startRun(agent, attempt);
                    break;
                case "workWithdrawn":
                case "refuseWork":
                    agent.attempts.delete(effect.requestId);
                    this.sendAnswer(
                        agent,
                        attempt,
                        effect.type === "refuseWork"
                            ? { type: "workRefused", refusal: effect.refusal }
                            : { type: "workWithdrawn" },
                    );
                    break;
                case "withdrawRefused":
                    this.sendAnswer(agent, attempt, { type: "workStarted" });
                    break;
                case "cancelRun":
                    agent.engine.cancel(effect.requestId, this.nowMs);
                    this.updateEngine(agent);
                    this.addAfter(0, () => this.handleRunEnd(agent, effect.requestId, "cancelled"));
                    break;
            }
        }
    }

    private startRun(agent: AgentNode, attempt: Attempt): void {
        attempt.isStarted = true;
        const { request, generatedTokens } = attempt.arrival;
        const { id, promptTokens, prefixHash } = request;
        const { engine } = agent;
        const isLate = agent.outSinceMs !== undefined && this.nowMs - agent.outSinceMs > outBoundMs;
        this.metrics.startsAfterOut += isLate ? 1 : 0;
        this.metrics.recordStart(id, promptTokens, this.nowMs);
        const before = engine.startsOverColdLimit;
        this.handleEngineEvents(agent, engine.start({ id, promptTokens, generatedTokens, prefixHash }, this.nowMs));
        this.metrics.startsOverColdLimit += engine.startsOverColdLimit - before;
        this.updateEngine(agent);
    }

    // ---- engines

    private updateEngine(agent: AgentNode): void {
        this.updateUsage();
        const atMs = agent.engine.nextAtMs();
        if (atMs !== undefined) {
            this.setTimer(agent.engine, atMs, () => {
                this.handleEngineEvents(agent, agent.engine.advance(this.nowMs));
                this.updateEngine(agent);
            });
        }
    }

    private handleEngineEvents(agent: AgentNode, events: readonly EngineEvent[]): void {
        for (const event of events) {
            this.handleEngineEvent(agent, event);
        }
    }

    private handleEngineEvent(agent: AgentNode, event: EngineEvent): void {
        const { id: requestId, tokens } = event;
        const attempt = agent.attempts.get(requestId);
        if (attempt === undefined) {
            return;
        }
        if (event.kind === "end" || event.kind === "broken") {
            // Later, since the core must not be called from within its own step.
            this.addAfter(0, () => this.handleRunEnd(agent, requestId, event.kind === "end" ? "completed" : "failed"));
            return;
        }
        this.metrics.recordTokens(requestId, tokens);
        if (event.kind === "first") {
            attempt.hasOutput = true;
            const tripMs = this.getTripMs(attempt.router, agent) + this.scenario.callerTripMs;
            this.addAfter(tripMs, () => this.metrics.recordFirstToken(requestId, this.nowMs));
            this.addAfter(0, () => this.sendToAgent(agent, { type: "firstOutput", requestId }));
        }
        this.addAfter(0, () => this.sendToAgent(agent, { type: "progressed", requestId, tokens }));
    }

    private handleRunEnd(agent: AgentNode, requestId: string, outcome: RunOutcome): void {
        const attempt = agent.attempts.get(requestId);
        if (attempt === undefined) {
            return;
        }
        const { promptTokens } = attempt.arrival.request;
        const { generatedTokens } = attempt.arrival;
        this.updateUsage();
        agent.attempts.delete(requestId);
        const counted = outcome === "completed" ? generatedTokens : 0;
        this.sendToAgent(agent, { type: "runEnded", requestId, outcome, promptTokens, generatedTokens: counted });
        if (outcome === "cancelled") {
            return;
        }
        if (this.system.hasExchange) {
            this.sendReport(attempt.router, agent, 0);
        }
        if (outcome === "completed" || attempt.hasOutput) {
            this.sendAnswer(agent, attempt, { type: "workEnded", cost: promptTokens + 4 * generatedTokens });
            this.addReachable(attempt.router, agent, () =>
                this.addAfter(this.scenario.callerTripMs, () =>
                    this.handleOutcome(requestId, outcome === "completed" ? "completed" : "refused"),
                ),
            );
        } else {
            this.sendAnswer(agent, attempt, {
                type: "workFailed",
                execution: "unknown",
                detail: "the engine broke off",
            });
        }
    }

    private reportLoad(agent: AgentNode): void {
        const cold = agent.engine.isCold(this.nowMs);
        const { running } = agent.engine;
        this.addAfter(engineReportLagMs, () => {
            this.updateUsage();
            this.sendToAgent(agent, { type: "targetReported", cold, running, waiting: 0 });
        });
    }

    // ---- exchange

    private startExchange(router: RouterNode, agent: AgentNode): void {
        const link = this.getLink(router, agent);
        if (!link.isLost && this.nowMs - link.heardAtMs > leaseMs) {
            link.isLost = true;
            this.sendToRouter(router, { type: "agentLost", agentId: agent.identity.agentId });
        }
        const { version, claims } = router.core.createClaims(agent.identity.agentId, link.claimVersion);
        this.metrics.recordControl(messageOverheadBytes + countBytes(claims));
        this.addReachable(router, agent, () => {
            link.claimVersion = version;
            if (claims.length > 0) {
                this.sendToAgent(agent, { type: "claimsReceived", routerId: router.id, claims });
            }
            this.sendReport(router, agent, 1);
        });
    }

    /** `messages` is 0 when the report rides on the end of an answer. */
    private sendReport(router: RouterNode, agent: AgentNode, messages: 0 | 1): void {
        const link = this.getLink(router, agent);
        const report = agent.core.createReport(link.reportSequence);
        if (this.system.hasExchange) {
            this.metrics.recordControl(countBytes(report) + messages * messageOverheadBytes, messages);
        }
        this.addReachable(router, agent, () => {
            link.reportSequence = Math.max(link.reportSequence ?? 0, report.sequence);
            link.heardAtMs = this.nowMs;
            link.isLost = false;
            this.sendToRouter(router, { type: "agentReported", report });
        });
    }

    /** Tells routers when room appears, since each may hold work that waits at another agent. */
    private sendRoom(agent: AgentNode): void {
        if (!this.system.hasExchange) {
            return;
        }
        const hasRoom = agent.engine.running < agent.engine.getCapacity(this.nowMs) && this.hasFreeWindow(agent);
        if (hasRoom && !agent.hadRoom && this.nowMs - agent.announcedAtMs >= announceEveryMs) {
            agent.announcedAtMs = this.nowMs;
            this.routers.forEach(router => this.sendReport(router, agent, 1));
        }
        agent.hadRoom = hasRoom;
    }

    private hasFreeWindow(agent: AgentNode): boolean {
        const { window, running, queued } = agent.core.createReport(Number.MAX_SAFE_INTEGER);
        return window - running - queued > 0;
    }

    // ---- network

    private sendAnswer(agent: AgentNode, attempt: Attempt, answer: AnswerBody): void {
        const { router, number, arrival } = attempt;
        const requestId = arrival.request.id;
        const { agentId } = agent.identity;
        this.addReachable(router, agent, () =>
            this.sendToRouter(router, { ...answer, requestId, agentId, attempt: number } as RouterMessage),
        );
    }

    private handleBroken(agent: AgentNode, attempt: Attempt, execution: "not-run" | "unknown"): void {
        const requestId = attempt.arrival.request.id;
        const { agentId } = agent.identity;
        if (attempt.hasOutput) {
            this.sendToRouter(attempt.router, {
                type: "workEnded",
                requestId,
                agentId,
                attempt: attempt.number,
                cost: 0,
            });
            this.handleOutcome(requestId, "refused");
            return;
        }
        const detail = "the connection broke";
        const failed = { type: "workFailed", requestId, agentId, attempt: attempt.number, execution, detail } as const;
        this.sendToRouter(attempt.router, failed);
    }

    private addReachable(router: RouterNode, agent: AgentNode, run: () => void): void {
        this.addAfter(this.getTripMs(router, agent), () => {
            if (this.canReach(router, agent)) {
                run();
            }
        });
    }

    private canReach(router: RouterNode, agent: AgentNode): boolean {
        const cut = this.cutDataCentre;
        return cut === undefined || (router.dataCentre === cut) === (agent.identity.dataCentre === cut);
    }

    private getTripMs(router: RouterNode, agent: AgentNode): number {
        const isLocal = router.dataCentre === agent.identity.dataCentre;
        return isLocal ? this.scenario.localTripMs : this.scenario.dataCentreTripMs;
    }

    private getLink(router: RouterNode, agent: AgentNode): Link {
        return this.links.get(`${router.id} ${agent.identity.agentId}`)!;
    }

    // ---- faults

    private applyFault(fault: Fault): void {
        switch (fault.kind) {
            case "dataCentreOut":
            case "dataCentreIn":
                this.setDataCentre(fault.dataCentre, fault.kind === "dataCentreOut" ? "out" : "in");
                break;
            case "turnCold":
                for (const index of fault.agentIndexes) {
                    const agent = this.agents[index]!;
                    this.handleEngineEvents(agent, agent.engine.handleColdStart(this.nowMs));
                    this.updateEngine(agent);
                }
                break;
            case "slow":
                for (const index of fault.agentIndexes) {
                    this.agents[index]!.engine.setSlowness(fault.slowness, this.nowMs);
                    this.updateEngine(this.agents[index]!);
                }
                break;
            case "cut":
                this.cutDataCentre = fault.dataCentre;
                this.closeConnections();
                break;
            case "heal":
                this.cutDataCentre = undefined;
                break;
        }
    }

    private setDataCentre(name: string, state: "in" | "out"): void {
        const { region } = this.document.dataCentres[name]!;
        const dataCentres = { ...this.document.dataCentres, [name]: { region, state } };
        this.document = { ...this.document, dataCentres };
        this.documentOffset += 1;
        for (const agent of this.agents.filter(candidate => candidate.identity.dataCentre === name)) {
            agent.outSinceMs = state === "out" ? this.nowMs : undefined;
        }
        this.sendDocument(documentDelayMs);
    }

    private sendDocument(delayMs: number): void {
        const message = { type: "documentAccepted", offset: this.documentOffset, document: this.document } as const;
        this.agents.forEach(agent =>
            this.addAfter(delayMs * this.random.next(), () => {
                this.updateUsage();
                this.sendToAgent(agent, message);
            }),
        );
        this.routers.forEach(router =>
            this.addAfter(delayMs * this.random.next(), () => this.sendToRouter(router, message)),
        );
    }

    /** Both ends of a cut connection notice: the router takes the attempt as failed, the agent as cancelled. */
    private closeConnections(): void {
        for (const agent of this.agents) {
            for (const [requestId, attempt] of agent.attempts) {
                if (!this.canReach(attempt.router, agent)) {
                    this.addAfter(resetNoticedMs * (1 + this.random.next()), () => {
                        this.handleBroken(agent, attempt, "unknown");
                        if (agent.attempts.get(requestId) === attempt) {
                            this.sendToAgent(agent, { type: "workCancelled", requestId });
                        }
                    });
                }
            }
        }
    }

    // ---- time

    private updateUsage(): void {
        let busy = 0;
        let usable = 0;
        for (const agent of this.agents) {
            const capacity = agent.outSinceMs === undefined ? agent.engine.getCapacity(this.nowMs) : 0;
            busy += Math.min(capacity, agent.engine.running);
            usable += capacity;
        }
        this.metrics.updateUsage(busy, usable, this.nowMs);
    }

    private addAt(atMs: number, run: () => void): void {
        this.events.set(run, atMs);
    }

    private addAfter(delayMs: number, run: () => void): void {
        this.events.set(run, this.nowMs + delayMs);
    }

    private addEvery(periodMs: number, offsetMs: number, run: () => void): void {
        this.addAt(this.nowMs + offsetMs, () => {
            run();
            this.addEvery(periodMs, periodMs, run);
        });
    }

    /** One timer per owner; a later call replaces an earlier one. */
    private setTimer(owner: object, atMs: number, run: () => void): void {
        this.ticks.set(owner, atMs);
        this.addAt(Math.max(this.nowMs, atMs), () => {
            if (this.ticks.get(owner) === atMs) {
                this.ticks.delete(owner);
                run();
            }
        });
    }

    private setTick<Effect>(core: TickingCore<Effect>, handle: (effects: readonly Effect[]) => void): void {
        const atMs = core.nextTickAtMs();
        if (atMs === undefined) {
            this.ticks.delete(core);
        } else {
            this.setTimer(core, Math.max(atMs, this.nowMs + leastTickMs), () => {
                handle(core.tick(this.nowMs));
                this.setTick(core, handle);
            });
        }
    }
}

interface TickingCore<Effect> {
    tick(nowMs: number): readonly Effect[];
    nextTickAtMs(): number | undefined;
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;
type AnswerBody = DistributiveOmit<
    Extract<RouterMessage, { readonly type: `work${string}` }>,
    "requestId" | "agentId" | "attempt"
>;

function countBytes(value: unknown): number {
    return JSON.stringify(value).length;
}
