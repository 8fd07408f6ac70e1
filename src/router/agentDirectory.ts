import type { Disposable } from "../base/lifecycle.js";
import { createControlClient, type ControlClient, type TrafficMeter } from "../control/client.js";
import type { RosterEntry } from "../control/schemas.js";

/** An agent that the roster names, with the client that reaches it. */
export interface DirectoryEntry {
    readonly entry: RosterEntry;
    readonly client: ControlClient;
}

/** Agents of the roster by their id, each with one control client. */
export class AgentDirectory implements Disposable {
    private readonly agents = new Map<string, DirectoryEntry>();

    public constructor(
        private readonly secret: string,
        private readonly meter: TrafficMeter,
    ) {}

    /** Takes a new roster; returns the ids of agents that it no longer names. */
    public update(roster: readonly RosterEntry[]): readonly string[] {
        const named = new Map(
            roster.flatMap(entry => (entry.role === "agent" ? [[entry.daemonId, entry] as const] : [])),
        );
        const removed = [...this.agents.keys()].filter(agentId => !named.has(agentId));
        removed.forEach(agentId => this.remove(agentId));
        for (const [agentId, entry] of named) {
            this.set(agentId, entry);
        }
        return removed;
    }

    public get(agentId: string): DirectoryEntry | undefined {
        return this.agents.get(agentId);
    }

    /** Ids of all agents, in the roster's order. */
    public list(): readonly string[] {
        return [...this.agents.keys()];
    }

    public dispose(): void {
        [...this.agents.keys()].forEach(agentId => this.remove(agentId));
    }

    private set(agentId: string, entry: RosterEntry): void {
        const known = this.agents.get(agentId);
        if (known !== undefined && known.entry.address === entry.address) {
            this.agents.set(agentId, { entry, client: known.client });
            return;
        }
        known?.client.dispose();
        const client = createControlClient({ address: entry.address, secret: this.secret, meter: this.meter });
        this.agents.set(agentId, { entry, client });
    }

    private remove(agentId: string): void {
        this.agents.get(agentId)?.client.dispose();
        this.agents.delete(agentId);
    }
}
