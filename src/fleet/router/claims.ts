import type { AgentReport, ServiceCounter } from "../entities.js";
import type { ServiceClaims } from "../routerMessages.js";

/** Claims for one agent, and the version to ask from next time. */
export interface VersionedClaims {
    readonly version: number;
    readonly claims: ServiceClaims;
}

/**
 * Service given over the fleet, summed from the agents' own counters. Each (agent, incarnation) is the only writer of its
 * counters and these only rise, so that lost, repeated and reordered reports do no harm: every sum here is a lower bound.
 * The counters of a dead incarnation stay in the sums; otherwise they would fall and the account would seem served less.
 */
export class ClaimTable {
    private readonly sums = new Map<string, SumEntry>();
    private readonly agents = new Map<string, AgentCounters>();
    private version = 0;

    /** Takes the counters of a report; those of an older incarnation are dropped. */
    public receiveReport(report: AgentReport): void {
        const { agentId, incarnation } = report.identity;
        let own = this.agents.get(agentId);
        if (own === undefined || own.incarnation < incarnation) {
            own = { incarnation, counters: new Map() };
            this.agents.set(agentId, own);
            this.version += 1;
            this.sums.forEach((sum, key) => this.sums.set(key, { ...sum, ...this.buildChange(sum, agentId, true) }));
        }
        if (own.incarnation === incarnation) {
            for (const counter of report.counters) {
                this.receiveCounter(agentId, own, counter);
            }
        }
    }

    /** What all other agents gave, as far as it changed since the version; for the agent's exchange. */
    public create(agentId: string, sinceVersion: number): VersionedClaims {
        const own = this.agents.get(agentId)?.counters;
        const claims: ServiceCounter[] = [];
        for (const [key, sum] of this.sums) {
            const changedAt = sum.changedBy === agentId ? sum.changedByOthersAt : sum.changedAt;
            if (changedAt > sinceVersion) {
                claims.push(createClaim(sum, own?.get(key)));
            }
        }
        return { version: this.version, claims };
    }

    /** What all other agents gave one account; undefined when nothing is known. */
    public find(agentId: string, service: string, clientAccount: string): ServiceCounter | undefined {
        const key = `${service}\n${clientAccount}`;
        const sum = this.sums.get(key);
        return sum === undefined ? undefined : createClaim(sum, this.agents.get(agentId)?.counters.get(key));
    }

    /** Sums over all agents. */
    public list(): Iterable<ServiceCounter> {
        return this.sums.values();
    }

    /** Normalized service of an account as known here; units over weight. */
    public getNormalizedService(service: string, clientAccount: string): number {
        const sum = this.sums.get(`${service}\n${clientAccount}`);
        return sum === undefined ? 0 : sum.charged - sum.refunded + sum.lift;
    }

    private receiveCounter(agentId: string, own: AgentCounters, counter: ServiceCounter): void {
        const key = `${counter.service}\n${counter.clientAccount}`;
        const before = own.counters.get(key) ?? { charged: 0, refunded: 0 };
        const sum = this.sums.get(key) ?? createSum(counter);
        const charged = Math.max(before.charged, counter.charged);
        const refunded = Math.max(before.refunded, counter.refunded);
        const isNewLift = counter.lift > sum.lift;
        if (charged === before.charged && refunded === before.refunded && !isNewLift) {
            return;
        }
        this.version += 1;
        own.counters.set(key, { charged, refunded });
        this.sums.set(key, {
            ...sum,
            ...this.buildChange(sum, agentId, false),
            charged: sum.charged + charged - before.charged,
            refunded: sum.refunded + refunded - before.refunded,
            lift: Math.max(sum.lift, counter.lift),
        });
    }

    /** `forAll`: the change matters to the agent that made it too, as after its restart. */
    private buildChange(sum: SumEntry, agentId: string, forAll: boolean): ChangeStamp {
        const others = sum.changedBy === agentId ? sum.changedByOthersAt : sum.changedAt;
        return {
            changedAt: this.version,
            changedBy: agentId,
            changedByOthersAt: forAll ? this.version : others,
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

interface SumEntry extends ServiceCounter, ChangeStamp {}

function createClaim(
    sum: ServiceCounter,
    own: { readonly charged: number; readonly refunded: number } | undefined,
): ServiceCounter {
    return {
        service: sum.service,
        clientAccount: sum.clientAccount,
        charged: Math.max(0, sum.charged - (own?.charged ?? 0)),
        refunded: Math.max(0, sum.refunded - (own?.refunded ?? 0)),
        lift: sum.lift,
    };
}

function createSum(counter: ServiceCounter): SumEntry {
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
