import type { RouterState } from "./state.js";
import type { AgentEntry, RequestEntry } from "./tables.js";

/**
 * Maximum number of lanes examined per report. With hundreds of accounts at dozens of agents, examining all of them takes
 * milliseconds.
 */
const maxLaneVisits = 256;
/** Maximum number of doublings of the hold time, which limits it to five seconds. */
const maxHoldDoublings = 8;

/**
 * Withdraws offered requests from agents: when an agent accepts no new work, when another agent has free capacity (so that
 * no slot is idle while requests wait at other agents), and when a deadline has passed.
 */
export class WithdrawSystem {
    private startIndex = 0;

    public constructor(private readonly state: RouterState) {}

    /** Withdraws one request unless it has started. */
    public withdraw(entry: RequestEntry, withdrawReason: "move" | "deadline", nowMs: number): void {
        const { agentId } = entry;
        if (agentId === undefined || entry.stage === "started") {
            return;
        }
        this.state.requests.set({ ...entry, stage: "withdrawing", withdrawReason });
        if (entry.stage === "offered") {
            this.sendWithdraw(entry.request.id, agentId, nowMs);
        }
    }

    /** Repeats a withdrawal that was not acknowledged in time; withdrawals are idempotent. */
    public handleRepeat(requestId: string, nowMs: number): void {
        const entry = this.state.requests.get(requestId);
        if (entry?.stage === "withdrawing" && entry.agentId !== undefined) {
            this.sendWithdraw(requestId, entry.agentId, nowMs);
        }
    }

    /** Withdraws all requests that are offered to an agent and have not started. */
    public withdrawAll(agentId: string, nowMs: number): void {
        for (const entry of this.listOffered(this.state.offers.list(agentId))) {
            this.withdraw(entry, "move", nowMs);
        }
    }

    /**
     * Moves requests that wait at busy agents to an agent with free capacity. This is needed only for lanes without
     * backlog, as requests of the other lanes are already offered to the agent. A request that has moved before stays
     * longer, so that it doesn't oscillate between agents whose free slots it may not use (long requests and the slots
     * reserved for short ones).
     */
    public withdrawForCapacity(agent: AgentEntry, nowMs: number): void {
        let freeSlots = computeFreeSlots(agent);
        let visits = 0;
        for (const other of freeSlots > 0 ? this.listBusy(agent) : []) {
            for (const [laneKey, ids] of this.state.offers.listByLane(other.agentId)) {
                visits += 1;
                if (freeSlots <= 0 || visits > maxLaneVisits) {
                    return;
                }
                if (this.canMove(laneKey, agent)) {
                    const entry = this.listOffered(ids).find(candidate => this.hasHoldElapsed(candidate, nowMs));
                    if (entry !== undefined) {
                        this.withdraw(entry, "move", nowMs);
                        freeSlots -= 1;
                    }
                }
            }
        }
    }

    /**
     * Agents without free capacity, starting at a different agent each time, so that the visit limit doesn't exclude the
     * same agents each time.
     */
    private listBusy(agent: AgentEntry): readonly AgentEntry[] {
        const agents = [...this.state.agents.list()];
        this.startIndex = (this.startIndex + 1) % agents.length;
        const rotated = [...agents.slice(this.startIndex), ...agents.slice(0, this.startIndex)];
        return rotated.filter(other => other.agentId !== agent.agentId && computeFreeSlots(other) <= 0);
    }

    /** Moves requests that wait at a busy agent to the agent with the most free capacity. */
    public withdrawFromBusy(agent: AgentEntry, nowMs: number): void {
        if (this.state.offers.listByLane(agent.agentId).size === 0 || computeFreeSlots(agent) > 0) {
            return;
        }
        let mostFreeAgent: AgentEntry | undefined;
        for (const other of this.state.agents.list()) {
            if (computeFreeSlots(other) > (mostFreeAgent === undefined ? 0 : computeFreeSlots(mostFreeAgent))) {
                mostFreeAgent = other;
            }
        }
        if (mostFreeAgent !== undefined) {
            this.withdrawForCapacity(mostFreeAgent, nowMs);
        }
    }

    private canMove(laneKey: string, agent: AgentEntry): boolean {
        const { state } = this;
        const lane = state.lanes.get(laneKey);
        return (
            lane !== undefined &&
            lane.homeAgentId === undefined &&
            agent.report.identity.services.includes(lane.service) &&
            state.backlog.count(laneKey) === 0 &&
            state.offers.count(agent.agentId, laneKey) < state.options.offerDepth
        );
    }

    private hasHoldElapsed(entry: RequestEntry, nowMs: number): boolean {
        const doublings = Math.min(maxHoldDoublings, entry.attempt - 1);
        return nowMs - entry.sentAtMs >= this.state.options.moveHoldMs * (2 ** doublings - 1);
    }

    private listOffered(ids: Iterable<string>): readonly RequestEntry[] {
        return [...ids]
            .map(id => this.state.requests.get(id))
            .filter((entry): entry is RequestEntry => entry?.stage === "offered");
    }

    private sendWithdraw(requestId: string, agentId: string, nowMs: number): void {
        const { state } = this;
        state.addEffect({ type: "withdrawWork", requestId, agentId });
        state.timers.set("withdraw-repeat", requestId, nowMs + state.options.withdrawRepeatMs);
    }
}

/** Number of requests that the agent could start immediately, by its last report and the requests sent since. */
function computeFreeSlots(agent: AgentEntry): number {
    if (!agent.isAccepting) {
        return 0;
    }
    const { report } = agent;
    return report.window - report.running - report.queued - agent.sentSinceReport;
}
