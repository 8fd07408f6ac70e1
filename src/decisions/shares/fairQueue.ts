import { IndexedHeap } from "../structures/indexedHeap.js";
import { LinkedList, type LinkedListNode } from "../admission/linkedList.js";

/** Work that waits in a {@link FairQueue}. */
export interface QueuedItem {
    readonly id: string;
    readonly clientAccount: string;
    readonly workClass: "short" | "long";
    /** Estimated cost in the service's unit, not divided by the weight. */
    readonly cost: number;
}

interface AccountQueue<T> {
    readonly short: LinkedList<T>;
    readonly long: LinkedList<T>;
    readonly weight: number;
    normalizedService: number;
    cost: number;
    /** Cost of long work started beyond that of short work while both waited. */
    longLead: number;
}

interface Placed<T> {
    readonly node: LinkedListNode<T>;
    readonly account: AccountQueue<T>;
}

/**
 * The waiting work of one service at one agent, in the order of start-time fair queueing (Goyal, Vin and Cheng, 1996).
 *
 * Load pattern: one account floods while others send a little. With one first-in-first-out queue the flood's length
 * is everybody's wait. Here the backlogged account with the least normalized service goes next, so that a newcomer
 * waits for at most what is already running.
 *
 * Within an account short and long work each get half of the account's cost while both wait, so neither a stream
 * of questions holds up a rebuild for ever, nor a rebuild the questions. Half needs no tuning, and the bound on either
 * class's delay is then twice its delay alone.
 *
 * Adding, taking and removing by id cost O(log accounts), whatever the number of requests that wait.
 */
export class FairQueue<T extends QueuedItem> {
    private readonly accounts = new Map<string, AccountQueue<T>>();
    private readonly placed = new Map<string, Placed<T>>();
    private readonly shortHeap = new IndexedHeap<string>();
    private readonly longHeap = new IndexedHeap<string>();
    private cost = 0;
    private weight = 0;

    public get size(): number {
        return this.placed.size;
    }

    /** Estimated cost of all that waits. */
    public get waitingCost(): number {
        return this.cost;
    }

    /** Sum of the weights of the backlogged accounts. */
    public get backloggedWeight(): number {
        return this.weight;
    }

    /** Adds an item behind its account's others of the same class. Ids are unique; a known one is left as it is. */
    public add(item: T, normalizedService: number, weight: number): void {
        if (this.placed.has(item.id)) {
            return;
        }
        const account = this.openAccount(item.clientAccount, normalizedService, weight);
        this.placed.set(item.id, { node: account[item.workClass].add(item), account });
        account.cost += item.cost;
        this.cost += item.cost;
        this.getHeap(item.workClass).set(item.clientAccount, account.normalizedService);
        this.updateAccount(item.clientAccount, normalizedService);
    }

    public has(id: string): boolean {
        return this.placed.has(id);
    }

    public get(id: string): T | undefined {
        return this.placed.get(id)?.node.value;
    }

    /** Takes an item out wherever it stands; undefined when it does not wait here. */
    public remove(id: string): T | undefined {
        const placed = this.placed.get(id);
        if (placed === undefined) {
            return undefined;
        }
        const item = placed.node.value;
        const { account } = placed;
        this.placed.delete(id);
        account[item.workClass].remove(placed.node);
        account.cost -= item.cost;
        this.cost = this.placed.size === 0 ? 0 : this.cost - item.cost;
        if (account[item.workClass].size === 0) {
            this.getHeap(item.workClass).remove(item.clientAccount);
            account.longLead = 0;
        }
        if (account.short.size + account.long.size === 0) {
            this.accounts.delete(item.clientAccount);
            this.weight = this.accounts.size === 0 ? 0 : this.weight - account.weight;
        }
        return item;
    }

    /** Tells the queue that an account's normalized service has changed; nothing happens when it does not wait. */
    public updateAccount(clientAccount: string, normalizedService: number): void {
        const account = this.accounts.get(clientAccount);
        if (account === undefined || account.normalizedService === normalizedService) {
            return;
        }
        account.normalizedService = normalizedService;
        if (account.short.size > 0) {
            this.shortHeap.set(clientAccount, normalizedService);
        }
        if (account.long.size > 0) {
            this.longHeap.set(clientAccount, normalizedService);
        }
    }

    /** The item that goes next, left in place. With `allowLong` false, long work is passed over. */
    public getNext(allowLong: boolean): T | undefined {
        const short = this.shortHeap.getMin();
        const long = allowLong ? this.longHeap.getMin() : undefined;
        if (short === undefined || long === undefined) {
            const only = short ?? long;
            const workClass = short === undefined ? "long" : "short";
            return only === undefined ? undefined : this.accounts.get(only.key)?.[workClass].getFirst();
        }
        if (short.key === long.key) {
            const account = this.accounts.get(short.key);
            return account?.[account.longLead >= 0 ? "short" : "long"].getFirst();
        }
        const workClass = short.priority <= long.priority ? "short" : "long";
        return this.accounts.get(workClass === "short" ? short.key : long.key)?.[workClass].getFirst();
    }

    /** Takes the item that goes next. */
    public take(allowLong: boolean): T | undefined {
        const next = this.getNext(allowLong);
        if (next === undefined) {
            return undefined;
        }
        const account = this.accounts.get(next.clientAccount);
        if (account !== undefined && account.short.size > 0 && account.long.size > 0) {
            account.longLead += next.workClass === "long" ? next.cost : -next.cost;
        }
        return this.remove(next.id);
    }

    /** Whether any long work waits. */
    public hasLong(): boolean {
        return this.longHeap.size > 0;
    }

    public countWaiting(clientAccount: string): number {
        const account = this.accounts.get(clientAccount);
        return account === undefined ? 0 : account.short.size + account.long.size;
    }

    /** Estimated cost of what an account has waiting. */
    public getAccountCost(clientAccount: string): number {
        return this.accounts.get(clientAccount)?.cost ?? 0;
    }

    /** The accounts with work waiting. */
    public listAccounts(): readonly string[] {
        return [...this.accounts.keys()];
    }

    /** The ids of all that waits, oldest first. */
    public listIds(): readonly string[] {
        return [...this.placed.keys()];
    }

    private openAccount(name: string, normalizedService: number, weight: number): AccountQueue<T> {
        const known = this.accounts.get(name);
        if (known !== undefined) {
            return known;
        }
        const account = {
            short: new LinkedList<T>(),
            long: new LinkedList<T>(),
            weight,
            normalizedService,
            cost: 0,
            longLead: 0,
        };
        this.accounts.set(name, account);
        this.weight += weight;
        return account;
    }

    private getHeap(workClass: "short" | "long"): IndexedHeap<string> {
        return workClass === "short" ? this.shortHeap : this.longHeap;
    }
}
