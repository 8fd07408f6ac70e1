import { encodeAnswerReport } from "../src/control/answerReport.js";
import { encodeCounters } from "../src/control/counters.js";
import type { AgentReport } from "../src/fleet/entities.js";
import type { AgentMessage } from "../src/fleet/agentMessages.js";
import type { RouterMessage } from "../src/fleet/routerMessages.js";
import { computeExchangePeriodMs, type Metrics } from "./metrics.js";
import type { Network } from "./network.js";
import type { AgentNode, Attempt, RouterNode } from "./nodes.js";
import type { Simulation } from "./simulation.js";
import type { BenchSystem } from "./system.js";

/** What a (router, agent) pair has acknowledged. */
interface Link {
    claimVersion: number;
    reportSequence: number | undefined;
    /** The last whole report, for the hints that brief ones leave out. */
    report: AgentReport | undefined;
    /** Exchanges without an answer since the last one with. */
    missed: number;
    isLost: boolean;
}

/** Hands messages to the cores. */
export interface CoreMessenger {
    sendToRouter(router: RouterNode, message: RouterMessage): void;
    sendToAgent(agent: AgentNode, message: AgentMessage): void;
}

/** What an {@link Exchange} needs. */
export interface ExchangeOptions {
    readonly simulation: Simulation;
    readonly network: Network;
    readonly metrics: Metrics;
    readonly system: BenchSystem;
    readonly routers: readonly RouterNode[];
    readonly messenger: CoreMessenger;
}

/** HTTP heads and framing of one control message. */
export const messageOverheadBytes = 250;
/** Exchanges without an answer after which an agent is lost. */
const missedExchanges = 2;
/** Weight of the newest exchange in a router's mean size, as in src/router/exchange.ts. */
const sizeSmoothing = 0.1;

/** Size of a control message's body. */
export function countBytes(value: unknown): number {
    return JSON.stringify(value).length;
}

/** Routers' claims and agents' reports, told at a period and on the frames of answers. */
export class Exchange {
    private readonly links = new Map<string, Link>();

    public constructor(private readonly options: ExchangeOptions) {}

    /** Opens all links; each agent reports once, and goes on where the system exchanges reports. */
    public start(): void {
        const { simulation, system, routers } = this.options;
        routers.forEach((router, routerIndex) => {
            const periodMs = this.computePeriodMs(router, undefined);
            router.agents.forEach((agent, agentIndex) => {
                this.openLink(router, agent);
                if (system.hasExchange) {
                    const offsetMs = ((routerIndex * 131 + agentIndex * 71) % 97) * (periodMs / 97);
                    simulation.addAfter(offsetMs, () => this.runExchange(router, agent));
                }
                this.sendReport(router, agent);
            });
        });
    }

    /** The brief report that rides on a frame of an answer, and so is no message of its own. */
    public sendAnswerReport(agent: AgentNode, attempt: Attempt): void {
        const { system, metrics, network, messenger } = this.options;
        if (!system.hasExchange) {
            return;
        }
        const { service, clientAccount } = attempt.arrival.request;
        const brief = agent.core.createAnswerReport(service, clientAccount);
        const link = this.getLink(attempt.router, agent);
        metrics.recordControl(countBytes(encodeAnswerReport(brief)), 0);
        network.addReachable(attempt.router, agent, () => {
            const cachedPrefixes = link.report?.cachedPrefixes ?? [];
            messenger.sendToRouter(attempt.router, { type: "agentReported", report: { ...brief, cachedPrefixes } });
        });
    }

    private runExchange(router: RouterNode, agent: AgentNode): void {
        this.startExchange(router, agent);
        this.options.simulation.addAfter(this.computePeriodMs(router, agent), () => this.runExchange(router, agent));
    }

    /** Both ends keep to their allowance: the router with its agents, and the agent with its routers. */
    private computePeriodMs(router: RouterNode, agent: AgentNode | undefined): number {
        const peers = this.options.routers.filter(other => agent !== undefined && other.agents.includes(agent)).length;
        return computeExchangePeriodMs(Math.max(router.agents.length, peers), router.meanExchangeBytes);
    }

    private startExchange(router: RouterNode, agent: AgentNode): void {
        const { metrics, network, messenger } = this.options;
        const link = this.getLink(router, agent);
        const { agentId } = agent.identity;
        link.missed += 1;
        if (!link.isLost && link.missed > missedExchanges) {
            link.isLost = true;
            messenger.sendToRouter(router, { type: "agentLost", agentId });
        }
        const { version, claims } = router.core.createClaims(agentId, link.claimVersion);
        const claimBytes = messageOverheadBytes + countBytes(encodeCounters(claims));
        metrics.recordControl(claimBytes);
        network.addReachable(router, agent, () => {
            link.claimVersion = version;
            messenger.sendToAgent(agent, { type: "claimsReceived", routerId: router.id, claims });
            const reportBytes = this.sendReport(router, agent);
            router.meanExchangeBytes += sizeSmoothing * (claimBytes + reportBytes - router.meanExchangeBytes);
        });
    }

    /** The agent's half of an exchange; returns its size. */
    private sendReport(router: RouterNode, agent: AgentNode): number {
        const { system, metrics, network, messenger } = this.options;
        const link = this.getLink(router, agent);
        const report = agent.core.createReport(link.reportSequence);
        const bytes = messageOverheadBytes + countBytes({ ...report, counters: encodeCounters(report.counters) });
        if (system.hasExchange) {
            metrics.recordControl(bytes);
        }
        network.addReachable(router, agent, () => {
            link.reportSequence = report.sequence;
            link.report = report;
            link.missed = 0;
            link.isLost = false;
            messenger.sendToRouter(router, { type: "agentReported", report });
        });
        return bytes;
    }

    private openLink(router: RouterNode, agent: AgentNode): void {
        const link = { claimVersion: 0, reportSequence: undefined, report: undefined, missed: 0, isLost: false };
        this.links.set(getLinkKey(router, agent), link);
    }

    private getLink(router: RouterNode, agent: AgentNode): Link {
        return this.links.get(getLinkKey(router, agent))!;
    }
}

function getLinkKey(router: RouterNode, agent: AgentNode): string {
    return `${router.id} ${agent.identity.agentId}`;
}
