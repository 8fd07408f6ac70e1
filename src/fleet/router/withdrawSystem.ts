import type { RouterState } from "./state.js";
import type { AgentEntry, RequestEntry } from "./tables.js";

/** Lanes looked at for one report: with hundreds of accounts at dozens of agents, a look at all takes milliseconds. */
const maxLaneVisits = 256;
/** Doublings of the hold time after which it grows no more: five seconds. */
const maxHoldDoublings = 8;

/**
 * Asks agents for requests back: when an agent takes nothing new, when another one has room (so that no slot idles while
 * work waits elsewhere), and when a deadline has passed.
 */
export class WithdrawSystem {
    private nextStart = 0;

    public constructor(private readonly state: RouterState) {}

    /** Asks for one request back. */
    public withdraw(entry: RequestEntry, withdrawFor: "move" | "deadline", nowMs: number): void {
        const { agentId } = entry;
        if (agentId === undefined || entry.stage === "started") {
            return;
        }
        this.state.requests.set({ ...entry, stage: "withdrawing", withdrawReason: withdrawFor });
        if (entry.stage === "offered") {
            this.sendWithdraw(entry.request.id, agentId, nowMs);
        }
    }

    /** A withdraw that wasn't answered in time is asked again; asking twice does no harm. */
    public handleRepeat(requestId: string, nowMs: number): void {
        const entry = this.state.requests.get(requestId);
        if (entry?.stage === "withdrawing" && entry.agentId !== undefined) {
            this.sendWithdraw(requestId, entry.agentId, nowMs);
        }
    }

    /** Takes everything back that an agent holds and has not started. */
    public withdrawAll(agentId: string, nowMs: number): void {
        for (const entry of this.listOffered(this.state.offers.list(agentId))) {
            this.withdraw(entry, "move", nowMs);
        }
    }

    /**
     * Moves requests that wait at busy agents to one that has room. Only lanes without backlog need it: the others are
     * already offered to the agent. A request that has moved before stays longer, so that none is sent to and fro between
     * agents whose free slots it may not use (long work and the slots kept for short).
     */
    public withdrawForCapacity(agent: AgentEntry, nowMs: number): void {
        let room = computeRoom(agent);
        let visits = 0;
        for (const other of room > 0 ? this.listBusy(agent) : []) {
            for (const [laneKey, ids] of this.state.offers.listByLane(other.agentId)) {
                visits += 1;
                if (room <= 0 || visits > maxLaneVisits) {
                    return;
                }
                if (this.canMove(laneKey, agent)) {
                    const entry = this.listOffered(ids).find(candidate => this.hasStayed(candidate, nowMs));
                    if (entry !== undefined) {
                        this.withdraw(entry, "move", nowMs);
                        room -= 1;
                    }
                }
            }
        }
    }

    /** Agents without room, beginning with another one each time, so that none is left out when visits run out. */
    private listBusy(agent: AgentEntry): readonly AgentEntry[] {
        const agents = [...this.state.agents.list()];
        this.nextStart = (this.nextStart + 1) % agents.length;
        const turned = [...agents.slice(this.nextStart), ...agents.slice(0, this.nextStart)];
        return turned.filter(other => other.agentId !== agent.agentId && computeRoom(other) <= 0);
    }

    /** Moves what waits at a busy agent to the one with the most room. */
    public withdrawFromBusy(agent: AgentEntry, nowMs: number): void {
        if (this.state.offers.listByLane(agent.agentId).size === 0 || computeRoom(agent) > 0) {
            return;
        }
        let roomiest: AgentEntry | undefined;
        for (const other of this.state.agents.list()) {
            if (computeRoom(other) > (roomiest === undefined ? 0 : computeRoom(roomiest))) {
                roomiest = other;
            }
        }
        if (roomiest !== undefined) {
            this.withdrawForCapacity(roomiest, nowMs);
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

    private hasStayed(entry: RequestEntry, nowMs: number): boolean {
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

/** Requests that the agent could start at once, as far as this router knows. */
function computeRoom(agent: AgentEntry): number {
    if (!agent.isAccepting) {
        return 0;
    }
    const { report } = agent;
    return report.window - report.running - report.queued - agent.sentSinceReport;
}
