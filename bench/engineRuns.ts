import type { RunOutcome } from "../src/fleet/agentMessages.js";
import type { EngineEvent } from "./engine.js";
import type { CoreMessenger, Exchange } from "./exchange.js";
import { outBoundMs, type Metrics } from "./metrics.js";
import type { Network } from "./network.js";
import type { AgentNode, AnswerBody, Attempt } from "./nodes.js";
import type { Scenario } from "./scenario.js";
import type { Simulation } from "./simulation.js";

/** What {@link EngineRuns} need. */
export interface EngineRunsOptions {
    readonly simulation: Simulation;
    readonly network: Network;
    readonly metrics: Metrics;
    readonly scenario: Scenario;
    readonly exchange: Exchange;
    readonly agents: readonly AgentNode[];
    readonly messenger: CoreMessenger;
    /** Sends an agent's answer to its router. */
    readonly sendAnswer: (agent: AgentNode, attempt: Attempt, answer: AnswerBody) => void;
    /** A caller has its final answer. */
    readonly onDidEnd: (requestId: string, outcome: "completed" | "refused") => void;
}

/** Units of service for a generated token; one of the prompt counts one. */
const outputTokenCost = 4;
/** Engines report their load this late. */
const engineReportLagMs = 1_000;

/** What runs at the engines, and what agents and callers learn of it. */
export class EngineRuns {
    public constructor(private readonly options: EngineRunsOptions) {}

    /** The agent lets a request start at its engine. */
    public startRun(agent: AgentNode, attempt: Attempt): void {
        const { simulation, metrics } = this.options;
        const { nowMs } = simulation;
        attempt.isStarted = true;
        const { request, generatedTokens } = attempt.arrival;
        const { id, promptTokens, prefixHash } = request;
        const { engine } = agent;
        const isLate = agent.outSinceMs !== undefined && nowMs - agent.outSinceMs > outBoundMs;
        metrics.startsAfterOut += isLate ? 1 : 0;
        metrics.recordStart(id, promptTokens, nowMs);
        const before = engine.startsOverColdLimit;
        this.handleEngineEvents(agent, engine.start({ id, promptTokens, generatedTokens, prefixHash }, nowMs));
        metrics.startsOverColdLimit += engine.startsOverColdLimit - before;
        this.updateEngine(agent);
    }

    /** Plays the engine on from now, after anything that changed its pace. */
    public updateEngine(agent: AgentNode): void {
        const { simulation } = this.options;
        this.updateUsage();
        const atMs = agent.engine.nextAtMs();
        if (atMs !== undefined) {
            simulation.setTimer(agent.engine, atMs, () => {
                this.handleEngineEvents(agent, agent.engine.advance(simulation.nowMs));
                this.updateEngine(agent);
            });
        }
    }

    /** Tells agent and caller what the engine did. */
    public handleEngineEvents(agent: AgentNode, events: readonly EngineEvent[]): void {
        for (const event of events) {
            const attempt = agent.attempts.get(event.id);
            if (attempt !== undefined) {
                this.handleEngineEvent(agent, attempt, event);
            }
        }
    }

    /** A run is over, or broke off, or was cancelled by its agent. */
    public handleRunEnd(agent: AgentNode, requestId: string, outcome: RunOutcome): void {
        const attempt = agent.attempts.get(requestId);
        if (attempt === undefined) {
            return;
        }
        const { promptTokens } = attempt.arrival.request;
        const generatedTokens = outcome === "completed" ? attempt.arrival.generatedTokens : 0;
        this.updateUsage();
        agent.attempts.delete(requestId);
        const ended = { type: "runEnded", requestId, outcome, promptTokens, generatedTokens } as const;
        this.options.messenger.sendToAgent(agent, ended);
        if (outcome !== "cancelled") {
            this.sendRunEnd(agent, attempt, outcome);
        }
    }

    /** The engine's own report of its load, which comes late. */
    public reportLoad(agent: AgentNode): void {
        const { simulation, messenger } = this.options;
        const cold = agent.engine.isCold(simulation.nowMs);
        const { running } = agent.engine;
        simulation.addAfter(engineReportLagMs, () => {
            this.updateUsage();
            messenger.sendToAgent(agent, { type: "targetReported", cold, running, waiting: 0 });
        });
    }

    /** Notes how many slots are busy, before anything changes it. */
    public updateUsage(): void {
        const { agents, simulation, metrics } = this.options;
        let busy = 0;
        let usable = 0;
        for (const agent of agents) {
            const capacity = agent.outSinceMs === undefined ? agent.engine.getCapacity(simulation.nowMs) : 0;
            busy += Math.min(capacity, agent.engine.running);
            usable += capacity;
        }
        metrics.updateUsage(busy, usable, simulation.nowMs);
    }

    private handleEngineEvent(agent: AgentNode, attempt: Attempt, { id, kind, tokens }: EngineEvent): void {
        const { simulation, messenger, metrics } = this.options;
        if (kind === "end" || kind === "broken") {
            // Later, since the core must not be called from within its own step.
            const outcome = kind === "end" ? "completed" : "failed";
            simulation.addAfter(0, () => this.handleRunEnd(agent, id, outcome));
            return;
        }
        metrics.recordTokens(id, tokens);
        if (kind === "first") {
            this.handleFirstOutput(agent, attempt);
        }
        simulation.addAfter(0, () => messenger.sendToAgent(agent, { type: "progressed", requestId: id, tokens }));
    }

    private handleFirstOutput(agent: AgentNode, attempt: Attempt): void {
        const { simulation, network, scenario, metrics, messenger } = this.options;
        const requestId = attempt.arrival.request.id;
        attempt.hasOutput = true;
        const tripMs = network.getTripMs(attempt.router, agent) + scenario.callerTripMs;
        simulation.addAfter(tripMs, () => metrics.recordFirstToken(requestId, simulation.nowMs));
        simulation.addAfter(0, () => messenger.sendToAgent(agent, { type: "firstOutput", requestId }));
    }

    private sendRunEnd(agent: AgentNode, attempt: Attempt, outcome: Exclude<RunOutcome, "cancelled">): void {
        const { simulation, network, scenario, exchange, sendAnswer, onDidEnd } = this.options;
        const { request, generatedTokens } = attempt.arrival;
        exchange.sendAnswerReport(agent, attempt);
        if (outcome !== "completed" && !attempt.hasOutput) {
            sendAnswer(agent, attempt, { type: "workFailed", execution: "unknown", detail: "the engine broke off" });
            return;
        }
        const cost = request.promptTokens + outputTokenCost * generatedTokens;
        sendAnswer(agent, attempt, { type: "workEnded", cost });
        network.addReachable(attempt.router, agent, () =>
            simulation.addAfter(scenario.callerTripMs, () =>
                onDidEnd(request.id, outcome === "completed" ? "completed" : "refused"),
            ),
        );
    }
}
