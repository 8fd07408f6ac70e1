import type { Random } from "../src/base/random.js";
import type { AgentEffect, AgentMessage } from "../src/fleet/agentMessages.js";
import type { Core } from "../src/fleet/core.js";
import type { AgentIdentity, AgentReport, BriefReport, ServiceCounter } from "../src/fleet/entities.js";
import type { RouterEffect, RouterMessage, ServiceClaims } from "../src/fleet/routerMessages.js";

/** A router's core with what its shell needs for the exchange. */
export interface BenchRouter extends Core<RouterMessage, RouterEffect> {
    createClaims(agentId: string, sinceVersion: number): { readonly version: number; readonly claims: ServiceClaims };
    findClaim(agentId: string, service: string, clientAccount: string): ServiceCounter | undefined;
}

/** An agent's core with what its shell needs for the exchange. */
export interface BenchAgent extends Core<AgentMessage, AgentEffect> {
    createReport(acknowledgedSequence: number | undefined): AgentReport;
    createAnswerReport(service: string, clientAccount: string): BriefReport;
}

/** What is measured: the product or the baseline. */
export interface BenchSystem {
    readonly name: string;
    /** Whether routers and agents exchange reports and claims. */
    readonly hasExchange: boolean;
    /** Whether the frame that says "queued" carries a report, as the frame that ends an answer does. */
    readonly reportsWhenQueued: boolean;
    createRouter(routerId: string, dataCentre: string, random: Random): BenchRouter;
    createAgent(identity: AgentIdentity, random: Random): BenchAgent;
}
