import { choosePlacement, type PlacementCandidate } from "../../decisions/placement/placement.js";
import { noTargetRetryAfterMs } from "./admitSystem.js";
import type { RouterState } from "./state.js";
import type { AgentEntry, RequestEntry } from "./tables.js";

/**
 * Offers waiting requests to agents, up to the offer depth per (lane, agent), so that each agent has requests of every
 * backlog that it could serve and can start them in fair order.
 */
export class OfferSystem {
    /** Whether the last run reached `maxSendsPerTick` with requests still to send. */
    public hasMore = false;

    public constructor(private readonly state: RouterState) {}

    /** Sends from the lanes that are not blocked, in proportion to their weights. */
    public run(nowMs: number): void {
        let sentCount = 0;
        for (let next = this.findNext(); next !== undefined; next = this.findNext()) {
            if (sentCount >= this.state.options.maxSendsPerTick) {
                this.hasMore = true;
                return;
            }
            sentCount += this.handleNext(next, nowMs);
        }
        this.hasMore = false;
    }

    private findNext(): RequestEntry | undefined {
        const next = this.state.backlog.findNext();
        return next === undefined ? undefined : this.state.requests.get(next.requestId);
    }

    /** Sends one request, refuses it, or blocks its lane until a change; returns the number of requests sent. */
    private handleNext(entry: RequestEntry, nowMs: number): number {
        const { state } = this;
        const agents = this.listAllowed(entry);
        const refusalDetail = agents.length === 0 ? this.describeUnservable(entry, nowMs) : undefined;
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
            .filter(agent => (homeAgentId === undefined ? agent.isAccepting : isKeyOwner(agent, homeAgentId)));
        const untried = agents.filter(agent => !entry.triedAgentIds.includes(agent.agentId));
        // A non-idempotent request is never sent twice to the same agent: a late reply to the first attempt could be
        // mistaken for a reply to the second, and the request would run twice.
        return untried.length > 0 || !entry.request.idempotent ? untried : agents;
    }

    /** Why a request that no agent can accept now is refused instead of queued; undefined if it stays queued. */
    private describeUnservable(entry: RequestEntry, nowMs: number): string | undefined {
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

/** A key owner is sent requests even while it accepts no new work, because only the owner has the key's status. */
function isKeyOwner(agent: AgentEntry, homeAgentId: string): boolean {
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
