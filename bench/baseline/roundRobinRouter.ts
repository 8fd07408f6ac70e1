import type { EnvironmentDocument } from "../../src/document/schema.js";
import type { AgentReport, Refusal, WorkRequest } from "../../src/fleet/entities.js";
import type { RouterEffect, RouterMessage, ServiceClaims } from "../../src/fleet/routerMessages.js";
import type { BenchRouter } from "../system.js";

interface Sent {
    readonly request: WorkRequest;
    readonly agentId: string;
    readonly attempt: number;
}

const maxAttempts = 3;

/** Sends each request to the next target in turn that the document has in; tries failed ones twice more. */
export class RoundRobinRouter implements BenchRouter {
    private readonly agents = new Map<string, AgentReport>();
    private readonly sent = new Map<string, Sent>();
    private document: EnvironmentDocument | undefined;
    private turn = 0;

    public handle(message: RouterMessage): readonly RouterEffect[] {
        switch (message.type) {
            case "documentAccepted":
                this.document = message.document;
                return [];
            case "agentReported":
                this.agents.set(message.report.identity.agentId, message.report);
                return [];
            case "agentLost":
                this.agents.delete(message.agentId);
                return [];
            case "submitted":
                return this.send(message.request, 1);
            case "workEnded":
                this.sent.delete(message.requestId);
                return [];
            case "workRefused":
                return this.refuse(message.requestId, message.refusal);
            case "workFailed":
                return this.handleFailed(message.requestId, message.agentId);
            default:
                return [];
        }
    }

    public tick(): readonly RouterEffect[] {
        return [];
    }

    public nextTickAtMs(): number | undefined {
        return undefined;
    }

    public createClaims(): { readonly version: number; readonly claims: ServiceClaims } {
        return { version: 0, claims: [] };
    }

    public findClaim(): undefined {
        return undefined;
    }

    private send(request: WorkRequest, attempt: number): readonly RouterEffect[] {
        const agents = [...this.agents.values()].filter(agent => this.isIn(agent));
        const agent = agents[this.turn % Math.max(1, agents.length)];
        this.turn += 1;
        if (agent === undefined) {
            return this.refuse(request.id, createRefusal("no-target"));
        }
        const { agentId } = agent.identity;
        this.sent.set(request.id, { request, agentId, attempt });
        return [{ type: "sendWork", requestId: request.id, agentId, attempt }];
    }

    private handleFailed(requestId: string, agentId: string): readonly RouterEffect[] {
        const sent = this.sent.get(requestId);
        if (sent === undefined || sent.agentId !== agentId) {
            return [];
        }
        return sent.attempt < maxAttempts
            ? this.send(sent.request, sent.attempt + 1)
            : this.refuse(requestId, createRefusal("target-failed"));
    }

    private refuse(requestId: string, refusal: Refusal): readonly RouterEffect[] {
        this.sent.delete(requestId);
        return [{ type: "refuse", requestId, refusal }];
    }

    private isIn(agent: AgentReport): boolean {
        return this.document?.dataCentres[agent.identity.dataCentre]?.state === "in";
    }
}

function createRefusal(reason: "no-target" | "target-failed"): Refusal {
    return { reason, execution: "unknown", retryAfterMs: undefined, detail: reason };
}
