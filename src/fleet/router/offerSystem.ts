import { choosePlacement, type PlacementCandidate } from "../../decisions/placement/placement.js";
import { noTargetRetryAfterMs } from "./admitSystem.js";
import type { RouterState } from "./state.js";
import type { AgentEntry, RequestEntry } from "./tables.js";

/**
 * Sends waiting requests to agents, up to the offer depth per (lane, agent), so that every backlog is seen by every agent
 * that could serve it and the agent can start whose turn it is.
 */
export class OfferSystem {
    /** Whether the last run stopped before everything was sent. */
    public hasMore = false;

    public constructor(private readonly state: RouterState) {}

    /** Works through the lanes that can go on, by weight. */
    public run(nowMs: number): void {
        let sends = 0;
        for (let next = this.findNext(); next !== undefined; next = this.findNext()) {
            if (sends >= this.state.options.maxSendsPerTick) {
                this.hasMore = true;
                return;
            }
            sends += this.handleNext(next, nowMs);
        }
        this.hasMore = false;
    }

    private findNext(): RequestEntry | undefined {
        const next = this.state.backlog.findNext();
        return next === undefined ? undefined : this.state.requests.get(next.requestId);
    }

    /** Sends one request, refuses it, or lets its lane wait for a change; returns how many were sent. */
    private handleNext(entry: RequestEntry, nowMs: number): number {
        const { state } = this;
        const agents = this.listAllowed(entry);
        const refusalDetail = agents.length === 0 ? this.describeHopeless(entry, nowMs) : undefined;
        if (refusalDetail !== undefined) {
            const { execution } = entry;
            const refusal = state.createRefusal("no-target", execution, noTargetRetryAfterMs, refusalDetail);
            state.refuse(entry, refusal, nowMs);
            return 0;
        }
        const chosen = this.choose(entry, agents);
        if (chosen === undefined) {
            state.backlog.stopNext();
            return 0;
        }
        state.backlog.takeNext();
        state.updateDrainRate(entry.lane.key, nowMs);
        this.send(entry, chosen, nowMs);
        return 1;
    }

    private listAllowed(entry: RequestEntry): readonly AgentEntry[] {
        const { homeAgentId } = entry.lane;
        const agents = this.state.agents
            .listForService(entry.request.service)
            .filter(agent => (homeAgentId === undefined ? agent.isAccepting : isHome(agent, homeAgentId)));
        const untried = agents.filter(agent => !entry.triedAgentIds.includes(agent.agentId));
        // An agent that held a non-idempotent request never gets it again: a late answer to the first sending could
        // otherwise be taken for one to the second, and the request be run twice.
        return untried.length > 0 || !entry.request.idempotent ? untried : agents;
    }

    /** Why waiting can't help a request that no agent may take now; undefined when it may. */
    private describeHopeless(entry: RequestEntry, nowMs: number): string | undefined {
        if (entry.lane.homeAgentId !== undefined) {
            return "the key's home is away";
        }
        if (!entry.request.idempotent && entry.triedAgentIds.length > 0) {
            return "no agent is left to try";
        }
        return this.state.isWithoutAgent(entry.request.service, nowMs) ? "no target serves this now" : undefined;
    }

    private choose(entry: RequestEntry, agents: readonly AgentEntry[]): AgentEntry | undefined {
        const { state } = this;
        const { prefixHash } = entry.request;
        const candidates: AgentCandidate[] = [];
        for (const agent of agents) {
            if (state.offers.count(agent.agentId, entry.lane.key) < state.options.offerDepth) {
                const ownWaiting = state.offers.countAccount(agent.agentId, entry.lane);
                candidates.push(createCandidate(agent, ownWaiting, prefixHash));
            }
        }
        const request = {
            affinityHash: entry.affinityHash,
            promptTokens: entry.request.promptTokens,
            dataCentre: state.dataCentre,
        };
        return choosePlacement(candidates, request, state.random)?.agent;
    }

    private send(entry: RequestEntry, agent: AgentEntry, nowMs: number): void {
        const { state } = this;
        const { agentId } = agent;
        const sent: RequestEntry = {
            ...entry,
            stage: "offered",
            agentId,
            attempt: entry.attempt + 1,
            sentAtMs: nowMs,
            triedAgentIds: entry.triedAgentIds.includes(agentId)
                ? entry.triedAgentIds
                : [...entry.triedAgentIds, agentId],
        };
        state.requests.set(sent);
        state.offers.add(agentId, entry.lane, entry.request.id);
        state.agents.set({ ...agent, sentSinceReport: agent.sentSinceReport + 1 });
        state.addEffect({ type: "sendWork", requestId: entry.request.id, agentId, attempt: sent.attempt });
        state.recordRequest("request-sent", sent, { value: sent.attempt });
    }
}

/** A home is asked also while it takes nothing new: only it can tell what became of a key. */
function isHome(agent: AgentEntry, homeAgentId: string): boolean {
    return agent.agentId === homeAgentId && !agent.isLost;
}

interface AgentCandidate extends PlacementCandidate {
    readonly agent: AgentEntry;
}

function createCandidate(agent: AgentEntry, ownWaiting: number, prefixHash: string | undefined): AgentCandidate {
    const { report } = agent;
    return {
        agent,
        agentId: agent.agentId,
        nameHash: agent.nameHash,
        dataCentre: report.identity.dataCentre,
        window: report.window,
        load: report.running + report.queued + agent.sentSinceReport,
        ownWaiting,
        serviceTimeMs: report.serviceTimeMs,
        hasCachedPrefix: prefixHash !== undefined && agent.cachedPrefixes.has(prefixHash),
    };
}
