import type { CatchUpCap } from "../../decisions/shares/catchUpCap.js";
import type { FairQueue, QueuedItem } from "../../decisions/shares/fairQueue.js";
import type { ServiceLedger } from "../../decisions/shares/serviceLedger.js";
import { LinkedList, type LinkedListNode } from "../../decisions/admission/linkedList.js";
import type { WorkClass, WorkRequest } from "../entities.js";

/** A request that waits at this agent. */
export interface QueuedWork extends QueuedItem {
    readonly request: WorkRequest;
    readonly routerId: string;
    readonly workClass: WorkClass;
    readonly hintClass: WorkClass;
    /** Charged when it starts, in the service's unit. */
    readonly charge: number;
    readonly queuedAtMs: number;
}

/** A request that was given to the target and has not ended. */
export interface RunningWork {
    readonly request: WorkRequest;
    readonly workClass: WorkClass;
    readonly hintClass: WorkClass;
    /** Weight at the start; charges and refunds of one request use the same. */
    readonly weight: number;
    /** Cost charged so far, in the service's unit. */
    readonly chargedCost: number;
    readonly generatedTokens: number;
    readonly startedAtMs: number;
    readonly firstOutputAtMs: number | undefined;
    readonly cancelRequested: boolean;
}

/** What the agent holds of one service. */
export interface ServiceRow {
    readonly service: string;
    readonly queue: FairQueue<QueuedWork>;
    readonly ledger: ServiceLedger;
    readonly cap: CatchUpCap;
    readonly running: number;
    /** Number of the last start, for taking turns between services. */
    readonly lastStartNumber: number;
    /** Smoothed time per unit of cost in one slot; milliseconds. */
    readonly msPerCost: number | undefined;
}

/** Key of a per-account row at one service. */
export function toAccountKey(service: string, clientAccount: string): string {
    return `${service}\n${clientAccount}`;
}

/** All rows of an agent's core. Rows are replaced, never changed in place. */
export class AgentTables {
    public readonly running = new Map<string, RunningWork>();
    /** Running requests that have given nothing yet, oldest first in each class. */
    private readonly awaiting = { short: new LinkedList<RunningWork>(), long: new LinkedList<RunningWork>() };
    private readonly awaitingNodes = new Map<string, LinkedListNode<RunningWork>>();
    public readonly services = new Map<string, ServiceRow>();
    private readonly runningByAccount = new Map<string, number>();
    private runningLong = 0;

    public get runningLongCount(): number {
        return this.runningLong;
    }

    public countQueued(): number {
        let count = 0;
        for (const row of this.services.values()) {
            count += row.queue.size;
        }
        return count;
    }

    public getQueued(id: string): QueuedWork | undefined {
        for (const row of this.services.values()) {
            const work = row.queue.get(id);
            if (work !== undefined) {
                return work;
            }
        }
        return undefined;
    }

    public countRunning(service: string, clientAccount: string): number {
        return this.runningByAccount.get(toAccountKey(service, clientAccount)) ?? 0;
    }

    public addRunning(work: RunningWork): void {
        this.running.set(work.request.id, work);
        this.awaitingNodes.set(work.request.id, this.awaiting[work.workClass].add(work));
        this.updateCounts(work, 1);
    }

    /** Replaces a row that is there already. */
    public setRunning(work: RunningWork): void {
        this.running.set(work.request.id, work);
        if (work.firstOutputAtMs !== undefined) {
            this.removeAwaiting(work);
        }
    }

    public isAwaitingOutput(id: string): boolean {
        return this.awaitingNodes.has(id);
    }

    /** Judges no first output of the requests that run now: they ran into a cold start, which was noticed. */
    public clearAwaitingOutput(): void {
        for (const [id, node] of [...this.awaitingNodes]) {
            this.awaitingNodes.delete(id);
            this.awaiting[node.value.workClass].remove(node);
        }
    }

    /** The request of a class that has waited longest for its first output. */
    public getAwaitingOutput(workClass: WorkClass): RunningWork | undefined {
        return this.awaiting[workClass].getFirst();
    }

    public removeRunning(work: RunningWork): void {
        this.running.delete(work.request.id);
        this.removeAwaiting(work);
        this.updateCounts(work, -1);
    }

    private removeAwaiting(work: RunningWork): void {
        const node = this.awaitingNodes.get(work.request.id);
        if (node !== undefined) {
            this.awaitingNodes.delete(work.request.id);
            this.awaiting[work.workClass].remove(node);
        }
    }

    private updateCounts(work: RunningWork, change: 1 | -1): void {
        const { service, clientAccount } = work.request;
        const key = toAccountKey(service, clientAccount);
        const count = (this.runningByAccount.get(key) ?? 0) + change;
        if (count === 0) {
            this.runningByAccount.delete(key);
        } else {
            this.runningByAccount.set(key, count);
        }
        if (work.workClass === "long") {
            this.runningLong += change;
        }
        const row = this.services.get(service);
        if (row !== undefined) {
            this.services.set(service, { ...row, running: row.running + change });
        }
    }
}
