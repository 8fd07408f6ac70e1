import type { AgentReport, Execution, WorkClass, WorkRequest } from "../entities.js";

/**
 * Stage of an open request. waiting: in the backlog. delayed: in the backoff before a retry. offered: sent to an agent, no
 * start reported. withdrawing: withdrawal requested, no reply yet. started: running at the target.
 */
export type RequestStage = "waiting" | "delayed" | "offered" | "withdrawing" | "started";

/** An open request of this router. */
export interface RequestEntry {
    readonly request: WorkRequest;
    readonly lane: Lane;
    readonly stage: RequestStage;
    /** Agent to which the request is assigned while offered, withdrawing or started. */
    readonly agentId: string | undefined;
    /** Number of the last attempt; 0 before the first. */
    readonly attempt: number;
    /** Number of failed attempts; withdrawn attempts don't count. */
    readonly failures: number;
    readonly sentAtMs: number;
    readonly triedAgentIds: readonly string[];
    readonly withdrawReason: "move" | "deadline" | undefined;
    /** Combined execution status of the failed attempts. */
    readonly execution: Execution;
    /** Hash for placement by cached prefix; undefined without a prefix. */
    readonly affinityHash: number | undefined;
}

/** Queue of the requests of one account, service and class (and key owner, for requests bound to one). */
export interface Lane {
    readonly key: string;
    readonly clientAccount: string;
    readonly service: string;
    readonly workClass: WorkClass;
    /** The only agent that may run the lane's requests (the key owner); undefined if any agent may. */
    readonly homeAgentId: string | undefined;
}

/** State of an agent by its last applied report. */
export interface AgentEntry {
    readonly agentId: string;
    readonly nameHash: number;
    readonly report: AgentReport;
    readonly cachedPrefixes: ReadonlySet<string>;
    /** Whether new work may be sent to the agent. */
    readonly isAccepting: boolean;
    readonly isLost: boolean;
    /** Number of requests sent since the report, which the report doesn't include. */
    readonly sentSinceReport: number;
}

/** Number of an account's open requests in this router. */
export interface AccountCount {
    readonly waiting: number;
    readonly running: number;
}

const zeroCount: AccountCount = { waiting: 0, running: 0 };

/** Requests by id, with counts by account, by lane and in total. */
export class RequestTable {
    private readonly rows = new Map<string, RequestEntry>();
    private readonly accounts = new Map<string, AccountCount>();
    private readonly lanes = new Map<string, number>();
    private totals: AccountCount = zeroCount;

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

    /** Open requests of an account over all services. */
    public countAccount(clientAccount: string): AccountCount {
        return this.accounts.get(clientAccount) ?? zeroCount;
    }

    /** Open requests of an account at one service; stored under "service\naccount". */
    public countAccountAtService(service: string, clientAccount: string): AccountCount {
        return this.accounts.get(`${service}\n${clientAccount}`) ?? zeroCount;
    }

    /** Number of requests of a lane that have not started. */
    public countLane(laneKey: string): number {
        return this.lanes.get(laneKey) ?? 0;
    }

    /** Inserts or replaces a request and updates the counts. */
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
            this.accounts.set(key, add(this.accounts.get(key) ?? zeroCount));
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

    /** Agents that serve a service, including lost agents and those that accept no new work. */
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

    /** Number of an account's requests in all classes that are offered to an agent. */
    public countAccount(agentId: string, lane: Lane): number {
        return this.byAccount.get(toAccountKey(agentId, lane)) ?? 0;
    }

    /** Number of a lane's requests that are offered to an agent. */
    public count(agentId: string, laneKey: string): number {
        return this.byAgent.get(agentId)?.get(laneKey)?.size ?? 0;
    }

    /** Requests offered to an agent, by lane, oldest first within a lane. */
    public listByLane(agentId: string): ReadonlyMap<string, ReadonlySet<string>> {
        return this.byAgent.get(agentId) ?? new Map();
    }

    /** Requests offered to an agent. */
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
