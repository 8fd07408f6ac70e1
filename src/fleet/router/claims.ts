import type { AgentReport, ServiceCounter } from "../entities.js";
import type { ServiceClaims } from "../routerMessages.js";

/** Claims for one agent, and the version to pass to the next incremental query. */
export interface VersionedClaims {
    readonly version: number;
    readonly claims: ServiceClaims;
}

/**
 * Service provided across the fleet, totalled from the agents' own counters. Each (agent, incarnation) is the only writer
 * of its counters and they never decrease, so lost, repeated and reordered reports are harmless: every total is a lower
 * bound. Counters of ended incarnations stay in the totals; without them the totals would fall and the account would appear
 * to have been served less.
 */
export class ClaimTable {
    private readonly totals = new Map<string, TotalEntry>();
    private readonly agents = new Map<string, AgentCounters>();
    private version = 0;

    /** Applies the counters of a report. Counters of an older incarnation are ignored. */
    public receiveReport(report: AgentReport): void {
        const { agentId, incarnation } = report.identity;
        let own = this.agents.get(agentId);
        if (own === undefined || own.incarnation < incarnation) {
            own = { incarnation, counters: new Map() };
            this.agents.set(agentId, own);
            this.version += 1;
            this.totals.forEach((total, key) =>
                this.totals.set(key, { ...total, ...this.buildChange(total, agentId, true) }),
            );
        }
        if (own.incarnation === incarnation) {
            for (const counter of report.counters) {
                this.receiveCounter(agentId, own, counter);
            }
        }
    }

    /** Service provided by all other agents, limited to entries changed since the version; sent in the agent's exchange. */
    public create(agentId: string, sinceVersion: number): VersionedClaims {
        const own = this.agents.get(agentId)?.counters;
        const claims: ServiceCounter[] = [];
        for (const [key, total] of this.totals) {
            const changedAt = total.changedBy === agentId ? total.changedByOthersAt : total.changedAt;
            if (changedAt > sinceVersion) {
                claims.push(createClaim(total, own?.get(key)));
            }
        }
        return { version: this.version, claims };
    }

    /** Service that all other agents provided to one account; undefined if no agent has reported any. */
    public find(agentId: string, service: string, clientAccount: string): ServiceCounter | undefined {
        const key = `${service}\n${clientAccount}`;
        const total = this.totals.get(key);
        return total === undefined ? undefined : createClaim(total, this.agents.get(agentId)?.counters.get(key));
    }

    /** Totals over all agents. */
    public list(): Iterable<ServiceCounter> {
        return this.totals.values();
    }

    /** Normalized service of an account by the reports received so far; service units divided by weight. */
    public getNormalizedService(service: string, clientAccount: string): number {
        const total = this.totals.get(`${service}\n${clientAccount}`);
        return total === undefined ? 0 : total.charged - total.refunded + total.lift;
    }

    private receiveCounter(agentId: string, own: AgentCounters, counter: ServiceCounter): void {
        const key = `${counter.service}\n${counter.clientAccount}`;
        const before = own.counters.get(key) ?? { charged: 0, refunded: 0 };
        const total = this.totals.get(key) ?? createTotal(counter);
        const charged = Math.max(before.charged, counter.charged);
        const refunded = Math.max(before.refunded, counter.refunded);
        const isNewLift = counter.lift > total.lift;
        if (charged === before.charged && refunded === before.refunded && !isNewLift) {
            return;
        }
        this.version += 1;
        own.counters.set(key, { charged, refunded });
        this.totals.set(key, {
            ...total,
            ...this.buildChange(total, agentId, false),
            charged: total.charged + charged - before.charged,
            refunded: total.refunded + refunded - before.refunded,
            lift: Math.max(total.lift, counter.lift),
        });
    }

    /** `forAll`: the change also concerns the agent that made it, as after a restart of that agent. */
    private buildChange(total: TotalEntry, agentId: string, forAll: boolean): ChangeStamp {
        const othersAt = total.changedBy === agentId ? total.changedByOthersAt : total.changedAt;
        return {
            changedAt: this.version,
            changedBy: agentId,
            changedByOthersAt: forAll ? this.version : othersAt,
        };
    }
}

interface AgentCounters {
    readonly incarnation: number;
    readonly counters: Map<string, { readonly charged: number; readonly refunded: number }>;
}

/** Version of the last change, its agent, and the version of the last change that another agent made. */
interface ChangeStamp {
    readonly changedAt: number;
    readonly changedBy: string;
    readonly changedByOthersAt: number;
}

interface TotalEntry extends ServiceCounter, ChangeStamp {}

function createClaim(
    total: ServiceCounter,
    own: { readonly charged: number; readonly refunded: number } | undefined,
): ServiceCounter {
    return {
        service: total.service,
        clientAccount: total.clientAccount,
        charged: Math.max(0, total.charged - (own?.charged ?? 0)),
        refunded: Math.max(0, total.refunded - (own?.refunded ?? 0)),
        lift: total.lift,
    };
}

function createTotal(counter: ServiceCounter): TotalEntry {
    return {
        service: counter.service,
        clientAccount: counter.clientAccount,
        charged: 0,
        refunded: 0,
        lift: 0,
        changedAt: 0,
        changedBy: "",
        changedByOthersAt: 0,
    };
}
