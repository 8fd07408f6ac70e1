import { encodeWorkClaim } from "../src/control/answerReport.js";
import { SeededRandom } from "../src/base/random.js";
import type { AgentEffect, AgentMessage } from "../src/fleet/agentMessages.js";
import type { RouterEffect, RouterMessage } from "../src/fleet/routerMessages.js";
import { createArrivals, type Arrival } from "./arrivals.js";
import { DocumentFeed } from "./documentFeed.js";
import { EngineRuns } from "./engineRuns.js";
import { countBytes, Exchange, messageOverheadBytes, type CoreMessenger } from "./exchange.js";
import { Metrics, waitingAfterMs, type Figures } from "./metrics.js";
import { Network } from "./network.js";
import {
    createAgents,
    createRouters,
    type AgentNode,
    type AnswerBody,
    type Attempt,
    type RouterNode,
} from "./nodes.js";
import type { Fault, Scenario } from "./scenario.js";
import { Simulation } from "./simulation.js";
import type { BenchSystem } from "./system.js";

/** A broken connection is noticed after this. */
const resetNoticedMs = 1_000;
/** Engines report their load this often. */
const engineReportEveryMs = 1_000;
const sampleEveryMs = 100;
/** Open requests get this long after the last arrival. */
const drainForMs = 120_000;

/** Runs one scenario against one system with a fake clock: an event heap and direct calls, no network. */
export class Driver {
    private readonly simulation = new Simulation();
    private readonly network: Network;
    private readonly exchange: Exchange;
    private readonly documents: DocumentFeed;
    private readonly engines: EngineRuns;
    private readonly routers: readonly RouterNode[];
    private readonly agents: readonly AgentNode[];
    private readonly metrics: Metrics;
    private readonly random: SeededRandom;
    private readonly agentsById: ReadonlyMap<string, AgentNode>;
    private readonly open = new Map<string, Arrival>();

    public constructor(
        private readonly scenario: Scenario,
        private readonly system: BenchSystem,
        private readonly seed: number,
    ) {
        this.random = new SeededRandom(seed * 7_919 + 1);
        this.metrics = new Metrics(scenario);
        this.network = new Network(this.simulation, scenario);
        this.agents = createAgents(scenario, system, seed);
        this.routers = createRouters(scenario, system, seed, this.agents);
        this.agentsById = new Map(this.agents.map(agent => [agent.identity.agentId, agent]));
        const { simulation, network, metrics, random, routers, agents } = this;
        const messenger: CoreMessenger = {
            sendToRouter: (router, message) => this.sendToRouter(router, message),
            sendToAgent: (agent, message) => this.sendToAgent(agent, message),
        };
        const shared = { simulation, network, metrics, scenario, system, random, routers, agents, messenger };
        this.exchange = new Exchange(shared);
        this.engines = new EngineRuns({
            ...shared,
            exchange: this.exchange,
            sendAnswer: (agent, attempt, answer) => this.sendAnswer(agent, attempt, answer),
            onDidEnd: (requestId, outcome) => this.handleOutcome(requestId, outcome),
        });
        this.documents = new DocumentFeed({ ...shared, onWillReach: () => this.engines.updateUsage() });
    }

    /** The figures of the whole run. */
    public run(): Figures {
        this.documents.start();
        this.agents.forEach((agent, index) =>
            this.simulation.addEvery(engineReportEveryMs, index, () => this.engines.reportLoad(agent)),
        );
        this.exchange.start();
        for (const arrival of createArrivals(this.scenario, new SeededRandom(this.seed))) {
            this.simulation.addAt(arrival.request.arrivedAtMs, () => this.handleArrival(arrival));
        }
        for (const fault of this.scenario.faults) {
            this.simulation.addAt(fault.atMs, () => this.applyFault(fault));
        }
        this.simulation.addEvery(sampleEveryMs, 0, () => this.metrics.takeSample(this.simulation.nowMs));
        const { untilMs } = this.scenario;
        this.simulation.run(atMs => atMs > untilMs + drainForMs || (atMs > untilMs && this.open.size === 0));
        return this.metrics.getFigures(this.system.name, this.simulation.nowMs);
    }

    // ---- callers

    private handleArrival(arrival: Arrival): void {
        const { id } = arrival.request;
        this.open.set(id, arrival);
        this.metrics.recordArrival(arrival);
        this.simulation.addAfter(waitingAfterMs, () => this.metrics.recordStillOpen(id, this.simulation.nowMs));
        this.simulation.addAfter(this.scenario.callerTripMs, () =>
            this.sendToRouter(this.routers[arrival.routerIndex]!, { type: "submitted", request: arrival.request }),
        );
    }

    private handleOutcome(requestId: string, outcome: "completed" | "refused"): void {
        this.open.delete(requestId);
        this.metrics.recordOutcome(requestId, outcome, this.simulation.nowMs);
    }

    // ---- routers

    private sendToRouter(router: RouterNode, message: RouterMessage): void {
        this.handleRouterEffects(router, router.core.handle(message, this.simulation.nowMs));
        this.simulation.setTick(router.core, effects => this.handleRouterEffects(router, effects));
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
        if (!this.network.canReach(router, agent)) {
            this.simulation.addAfter(resetNoticedMs, () => this.handleBroken(agent, attempt, "not-run"));
            return;
        }
        const { service, clientAccount } = arrival.request;
        const claim = router.core.findClaim(agent.identity.agentId, service, clientAccount);
        this.metrics.recordControl(claim === undefined ? 0 : countBytes(encodeWorkClaim(claim)), 0);
        this.simulation.addAfter(this.network.getTripMs(router, agent), () => {
            agent.attempts.set(requestId, attempt);
            // An account's claim travels with its work; a retried request may find an older attempt of its own.
            if (claim !== undefined) {
                this.sendToAgent(agent, {
                    type: "claimsReceived",
                    routerId: router.id,
                    claims: [claim],
                    source: "work",
                });
            }
            this.sendToAgent(agent, { type: "workOffered", request: arrival.request, routerId: router.id });
            if (this.system.reportsWhenQueued && agent.attempts.get(requestId) === attempt && !attempt.isStarted) {
                this.exchange.sendAnswerReport(agent, attempt);
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
        this.network.addReachable(router, agent, () =>
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
        this.handleAgentEffects(agent, agent.core.handle(message, this.simulation.nowMs));
        this.simulation.setTick(agent.core, effects => this.handleAgentEffects(agent, effects));
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
                    this.engines.startRun(agent, attempt);
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
                    agent.engine.cancel(effect.requestId, this.simulation.nowMs);
                    this.engines.updateEngine(agent);
                    this.simulation.addAfter(0, () => this.engines.handleRunEnd(agent, effect.requestId, "cancelled"));
                    break;
            }
        }
    }

    // ---- network

    private sendAnswer(agent: AgentNode, attempt: Attempt, answer: AnswerBody): void {
        const { router, number, arrival } = attempt;
        const requestId = arrival.request.id;
        const { agentId } = agent.identity;
        this.network.addReachable(router, agent, () =>
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

    // ---- faults

    private applyFault(fault: Fault): void {
        switch (fault.kind) {
            case "dataCentreOut":
            case "dataCentreIn":
                this.documents.setDataCentre(fault.dataCentre, fault.kind === "dataCentreOut" ? "out" : "in");
                break;
            case "turnCold":
                for (const index of fault.agentIndexes) {
                    const agent = this.agents[index]!;
                    this.engines.handleEngineEvents(agent, agent.engine.handleColdStart(this.simulation.nowMs));
                    this.engines.updateEngine(agent);
                }
                break;
            case "slow":
                for (const index of fault.agentIndexes) {
                    this.agents[index]!.engine.setSlowness(fault.slowness, this.simulation.nowMs);
                    this.engines.updateEngine(this.agents[index]!);
                }
                break;
            case "cut":
                this.network.setCut(fault.dataCentre);
                this.closeConnections();
                break;
            case "heal":
                this.network.setCut(undefined);
                break;
        }
    }

    /** Both ends of a cut connection notice: the router takes the attempt as failed, the agent as cancelled. */
    private closeConnections(): void {
        for (const agent of this.agents) {
            for (const [requestId, attempt] of agent.attempts) {
                if (!this.network.canReach(attempt.router, agent)) {
                    this.simulation.addAfter(resetNoticedMs * (1 + this.random.next()), () => {
                        this.handleBroken(agent, attempt, "unknown");
                        if (agent.attempts.get(requestId) === attempt) {
                            this.sendToAgent(agent, { type: "workCancelled", requestId });
                        }
                    });
                }
            }
        }
    }
}
