import type { CatchUpCap } from "../../decisions/shares/catchUpCap.js";
import type { FairQueue, QueuedItem } from "../../decisions/shares/fairQueue.js";
import type { ServiceLedger } from "../../decisions/shares/serviceLedger.js";
import { LinkedList, type LinkedListNode } from "../../decisions/admission/linkedList.js";
import type { WorkClass, WorkRequest } from "../entities.js";

/** A request queued at this agent. */
export interface QueuedWork extends QueuedItem {
    readonly request: WorkRequest;
    readonly routerId: string;
    readonly workClass: WorkClass;
    readonly hintClass: WorkClass;
    /** Estimated cost that is charged at the start, in the service's cost unit. */
    readonly charge: number;
    readonly queuedAtMs: number;
}

/** A request that was sent to the target and has not ended. */
export interface RunningWork {
    readonly request: WorkRequest;
    readonly workClass: WorkClass;
    readonly hintClass: WorkClass;
    /** Account's weight at the start; all charges and refunds of the request use it, even if the document changes. */
    readonly weight: number;
    /** Cost charged so far, in the service's cost unit. */
    readonly chargedCost: number;
    readonly generatedTokens: number;
    readonly startedAtMs: number;
    readonly firstOutputAtMs: number | undefined;
    readonly cancelRequested: boolean;
}

/** Queue, accounting and measurements of one service. */
export interface ServiceRow {
    readonly service: string;
    readonly queue: FairQueue<QueuedWork>;
    readonly ledger: ServiceLedger;
    readonly cap: CatchUpCap;
    readonly running: number;
    /** Number of the service's last start among all starts of the agent; used to alternate between services. */
    readonly lastStartNumber: number;
    /** Smoothed time per unit of cost in one slot; milliseconds. Undefined before the first completed request. */
    readonly msPerCost: number | undefined;
}

/** Key of a per-account row at one service. */
export function toAccountKey(service: string, clientAccount: string): string {
    return `${service}\n${clientAccount}`;
}

/** All rows of an agent's core. Rows are replaced, never changed in place. */
export class AgentTables {
    public readonly running = new Map<string, RunningWork>();
    /** Running requests without output so far, oldest first in each class. */
    private readonly awaitingOutput = { short: new LinkedList<RunningWork>(), long: new LinkedList<RunningWork>() };
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
        this.awaitingNodes.set(work.request.id, this.awaitingOutput[work.workClass].add(work));
        this.updateCounts(work, 1);
    }

    /** Replaces the row of a running request. */
    public setRunning(work: RunningWork): void {
        this.running.set(work.request.id, work);
        if (work.firstOutputAtMs !== undefined) {
            this.removeAwaitingOutput(work);
        }
    }

    public isAwaitingOutput(id: string): boolean {
        return this.awaitingNodes.has(id);
    }

    /**
     * Stops measuring first outputs of the running requests: the cold start that delays them has already been detected.
     */
    public clearAwaitingOutput(): void {
        for (const [id, node] of [...this.awaitingNodes]) {
            this.awaitingNodes.delete(id);
            this.awaitingOutput[node.value.workClass].remove(node);
        }
    }

    /** The request of a class that has been waiting longest for its first output. */
    public getAwaitingOutput(workClass: WorkClass): RunningWork | undefined {
        return this.awaitingOutput[workClass].getFirst();
    }

    public removeRunning(work: RunningWork): void {
        this.running.delete(work.request.id);
        this.removeAwaitingOutput(work);
        this.updateCounts(work, -1);
    }

    private removeAwaitingOutput(work: RunningWork): void {
        const node = this.awaitingNodes.get(work.request.id);
        if (node !== undefined) {
            this.awaitingNodes.delete(work.request.id);
            this.awaitingOutput[work.workClass].remove(node);
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
