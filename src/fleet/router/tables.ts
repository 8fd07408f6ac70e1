import type { AgentReport, Execution, WorkClass, WorkRequest } from "../entities.js";

/**
 * Where a request stands. waiting: in the backlog. delayed: before a retry. offered: sent, not known to have started.
 * withdrawing: asked back. started: running at the target.
 */
export type RequestStage = "waiting" | "delayed" | "offered" | "withdrawing" | "started";

/** A request that this router answers for. */
export interface RequestEntry {
    readonly request: WorkRequest;
    readonly lane: Lane;
    readonly stage: RequestStage;
    /** Agent that holds it while offered, withdrawing or started. */
    readonly agentId: string | undefined;
    /** Number of the last attempt; 0 before the first. */
    readonly attempt: number;
    /** Attempts that failed, as against those withdrawn. */
    readonly failures: number;
    readonly sentAtMs: number;
    readonly triedAgentIds: readonly string[];
    /** Why it is being withdrawn. */
    readonly withdrawReason: "move" | "deadline" | undefined;
    /** What is known of the attempts that failed. */
    readonly execution: Execution;
    /** For placement by cached prefix. */
    readonly affinityHash: number | undefined;
}

/** Requests of one account, service and class (and home, for those bound to one) share a queue. */
export interface Lane {
    readonly key: string;
    readonly clientAccount: string;
    readonly service: string;
    readonly workClass: WorkClass;
    /** Only agent that may run the lane's requests. */
    readonly homeAgentId: string | undefined;
}

/** An agent as this router sees it. */
export interface AgentEntry {
    readonly agentId: string;
    readonly nameHash: number;
    readonly report: AgentReport;
    readonly cachedPrefixes: ReadonlySet<string>;
    /** Whether new work may be sent. */
    readonly isAccepting: boolean;
    readonly isLost: boolean;
    /** Requests sent that the report can't count yet. */
    readonly sentSinceReport: number;
}

/** How much an account holds in this router. */
export interface AccountCount {
    readonly waiting: number;
    readonly running: number;
}

const noCount: AccountCount = { waiting: 0, running: 0 };

/** Requests by id, with counts by account, by lane and in total. */
export class RequestTable {
    private readonly rows = new Map<string, RequestEntry>();
    private readonly accounts = new Map<string, AccountCount>();
    private readonly lanes = new Map<string, number>();
    private totals: AccountCount = noCount;

    /** Waiting and running requests over all accounts. */
    public get total(): AccountCount {
        return this.totals;
    }

    public get(requestId: string): RequestEntry | undefined {
        return this.rows.get(requestId);
    }

    public has(requestId: string): boolean {
        return this.rows.has(requestId);
    }

    /** Requests of an account at a service are counted under "service\naccount". */
    public countAccount(clientAccount: string): AccountCount {
        return this.accounts.get(clientAccount) ?? noCount;
    }

    /** Requests of an account at one service. */
    public countAccountAtService(service: string, clientAccount: string): AccountCount {
        return this.accounts.get(`${service}\n${clientAccount}`) ?? noCount;
    }

    /** Requests of a lane that have not started. */
    public countLane(laneKey: string): number {
        return this.lanes.get(laneKey) ?? 0;
    }

    /** Puts a request or its next state. */
    public set(entry: RequestEntry): void {
        const before = this.rows.get(entry.request.id);
        if (before !== undefined) {
            this.count(before, -1);
        }
        this.rows.set(entry.request.id, entry);
        this.count(entry, 1);
    }

    public delete(requestId: string): void {
        const before = this.rows.get(requestId);
        if (before !== undefined) {
            this.count(before, -1);
            this.rows.delete(requestId);
        }
    }

    private count(entry: RequestEntry, step: number): void {
        const isRunning = entry.stage === "started";
        const add = (count: AccountCount): AccountCount =>
            isRunning
                ? { waiting: count.waiting, running: count.running + step }
                : { waiting: count.waiting + step, running: count.running };
        this.totals = add(this.totals);
        const { clientAccount, service } = entry.request;
        for (const key of [clientAccount, `${service}\n${clientAccount}`]) {
            this.accounts.set(key, add(this.accounts.get(key) ?? noCount));
        }
        if (!isRunning) {
            this.lanes.set(entry.lane.key, this.countLane(entry.lane.key) + step);
        }
    }
}

/** Agents by id, and by service. */
export class AgentTable {
    private readonly rows = new Map<string, AgentEntry>();
    private readonly byService = new Map<string, readonly string[]>();

    public get(agentId: string): AgentEntry | undefined {
        return this.rows.get(agentId);
    }

    public list(): Iterable<AgentEntry> {
        return this.rows.values();
    }

    /** Agents that serve a service, whatever their state. */
    public listForService(service: string): readonly AgentEntry[] {
        return (this.byService.get(service) ?? []).map(agentId => this.rows.get(agentId)!);
    }

    public set(entry: AgentEntry): void {
        const before = this.rows.get(entry.agentId);
        this.rows.set(entry.agentId, entry);
        const services = entry.report.identity.services;
        if (before?.report.identity.services.join() !== services.join()) {
            this.updateServices();
        }
    }

    private updateServices(): void {
        const lists = new Map<string, string[]>();
        for (const agent of this.rows.values()) {
            for (const service of agent.report.identity.services) {
                const list = lists.get(service) ?? [];
                list.push(agent.agentId);
                lists.set(service, list);
            }
        }
        this.byService.clear();
        lists.forEach((list, service) => this.byService.set(service, list));
    }
}

/** Offered requests that have not started, by agent and lane. */
export class OfferTable {
    private readonly byAgent = new Map<string, Map<string, Set<string>>>();
    private readonly byAccount = new Map<string, number>();

    public add(agentId: string, lane: Lane, requestId: string): void {
        const laneKey = lane.key;
        this.updateAccount(agentId, lane, 1);
        let lanes = this.byAgent.get(agentId);
        if (lanes === undefined) {
            lanes = new Map();
            this.byAgent.set(agentId, lanes);
        }
        const ids = lanes.get(laneKey) ?? new Set();
        ids.add(requestId);
        lanes.set(laneKey, ids);
    }

    public remove(agentId: string, lane: Lane, requestId: string): void {
        const lanes = this.byAgent.get(agentId);
        const ids = lanes?.get(lane.key);
        if (ids?.delete(requestId) === true) {
            this.updateAccount(agentId, lane, -1);
        }
        if (ids?.size === 0) {
            lanes?.delete(lane.key);
        }
    }

    /** Requests of an account that an agent holds, of all classes. */
    public countAccount(agentId: string, lane: Lane): number {
        return this.byAccount.get(toAccountKey(agentId, lane)) ?? 0;
    }

    /** Requests of a lane that an agent holds. */
    public count(agentId: string, laneKey: string): number {
        return this.byAgent.get(agentId)?.get(laneKey)?.size ?? 0;
    }

    /** Requests that an agent holds, by lane, oldest first within a lane. */
    public listByLane(agentId: string): ReadonlyMap<string, ReadonlySet<string>> {
        return this.byAgent.get(agentId) ?? new Map();
    }

    /** Requests that an agent holds. */
    public list(agentId: string): readonly string[] {
        return [...this.listByLane(agentId).values()].flatMap(ids => [...ids]);
    }

    private updateAccount(agentId: string, lane: Lane, step: number): void {
        const key = toAccountKey(agentId, lane);
        this.byAccount.set(key, (this.byAccount.get(key) ?? 0) + step);
    }
}

function toAccountKey(agentId: string, lane: Lane): string {
    return `${agentId}\n${lane.service}\n${lane.clientAccount}`;
}
