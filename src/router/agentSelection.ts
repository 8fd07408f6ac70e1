import type { RosterEntry } from "../control/schemas.js";
import type { AgentReport } from "../fleet/entities.js";

/**
 * The agents of a router's directory: those that it works with, and those of earlier subsets at which it still has requests. Taken out
 * of the directory an agent counts as lost, and its requests end after some time without output although it is sound.
 */
export class AgentSelection {
    private readonly finishing = new Set<string>();

    /** `hasRequests`: whether the router has requests without a final answer at an agent. */
    public constructor(private readonly hasRequests: (agentId: string) => boolean) {}

    /** Entries for the directory; `chosen`: the agents to work with, `known`: ids of those in the directory. */
    public update(
        chosen: readonly RosterEntry[],
        roster: readonly RosterEntry[],
        known: readonly string[],
    ): readonly RosterEntry[] {
        const chosenIds = new Set(chosen.map(entry => entry.daemonId));
        const finishing = roster.filter(
            ({ daemonId }) => known.includes(daemonId) && !chosenIds.has(daemonId) && this.hasRequests(daemonId),
        );
        this.finishing.clear();
        finishing.forEach(entry => this.finishing.add(entry.daemonId));
        return [...chosen, ...finishing];
    }

    /** Agents that only finish requests of this router. */
    public listFinishing(): readonly string[] {
        return [...this.finishing];
    }

    /** Whether an agent was kept for its requests, and has none left. */
    public isFinished(agentId: string): boolean {
        return this.finishing.has(agentId) && !this.hasRequests(agentId);
    }

    /** The report for the router's core: an agent that only finishes requests gets no new ones. */
    public buildReport(report: AgentReport): AgentReport {
        const isLimited = report.phase === "serving" && this.finishing.has(report.identity.agentId);
        return isLimited ? { ...report, phase: "draining" } : report;
    }
}
