/**
 * The router's own backlog: one first-in-first-out queue per lane, and a weighted round over the lanes that can go on.
 *
 * Load patterns: a flood by one account, and many waiting requests when a target comes back. In one common queue the
 * request at the head whose account has no free place holds up all others (head-of-line blocking), and the account that
 * sends most gets most. Here a lane that can't go on leaves the round until something changes for it, and a long backlog is
 * worked off in portions in which each lane gets turns by its weight (stride scheduling; Waldspurger and Weihl, 1995).
 * Adding, taking and removing cost at most the logarithm of the number of lanes, and nothing per waiting request.
 */

import { IndexedHeap } from "../structures/indexedHeap.js";

/** Queues of request ids by lane. */
export class Backlog {
    private readonly lanes = new Map<string, LaneQueue>();
    private readonly nodes = new Map<string, QueueNode>();
    private readonly ready = new IndexedHeap<LaneQueue>();
    /** Pass of the lane that went last: a lane that returns starts here and so has no saved-up turns. */
    private currentPass = 0;

    /** Requests that wait here. */
    public get size(): number {
        return this.nodes.size;
    }

    /** Appends a request to its lane and lets the lane take part in the round. */
    public add(laneKey: string, weight: number, requestId: string): void {
        const lane = this.getLane(laneKey, weight);
        lane.tail.push(this.addNode(lane, requestId));
        this.addReady(lane);
    }

    /** Puts a request at its lane's head: it waited before and came back. */
    public addFirst(laneKey: string, weight: number, requestId: string): void {
        const lane = this.getLane(laneKey, weight);
        lane.head.push(this.addNode(lane, requestId));
        this.addReady(lane);
    }

    /** Takes a request out, wherever it stands. */
    public remove(requestId: string): void {
        const node = this.nodes.get(requestId);
        if (node === undefined) {
            return;
        }
        const { lane } = node;
        node.isLive = false;
        this.nodes.delete(requestId);
        lane.live -= 1;
        if (lane.live === 0) {
            lane.head.length = 0;
            lane.tail.length = 0;
            lane.tailStart = 0;
        }
    }

    /** Requests that wait in a lane. */
    public count(laneKey: string): number {
        return this.lanes.get(laneKey)?.live ?? 0;
    }

    /** The requests that wait in a lane, the next one first. */
    public list(laneKey: string): readonly string[] {
        const lane = this.lanes.get(laneKey);
        if (lane === undefined) {
            return [];
        }
        const nodes = [...lane.head.toReversed(), ...lane.tail.slice(lane.tailStart)];
        return nodes.filter(node => node.isLive).map(node => node.requestId);
    }

    /** Something changed for a lane: it takes part in the round again. */
    public handleLaneChanged(laneKey: string): void {
        const lane = this.lanes.get(laneKey);
        if (lane !== undefined) {
            this.addReady(lane);
        }
    }

    /** Something changed for all lanes. */
    public handleAllChanged(): void {
        for (const lane of this.lanes.values()) {
            this.addReady(lane);
        }
    }

    /** The request whose turn it is, left in place; undefined when no lane can go on. */
    public findNext(): { readonly laneKey: string; readonly requestId: string } | undefined {
        for (let lane = this.ready.getMin()?.key; lane !== undefined; lane = this.ready.getMin()?.key) {
            const requestId = this.findHead(lane);
            if (requestId !== undefined) {
                return { laneKey: lane.key, requestId };
            }
            this.ready.remove(lane);
        }
        return undefined;
    }

    /** The lane of {@link findNext} used its turn: its head is taken out and its next turn comes by weight. */
    public takeNext(): void {
        const lane = this.ready.getMin()?.key;
        const requestId = lane === undefined ? undefined : this.findHead(lane);
        if (lane === undefined || requestId === undefined) {
            return;
        }
        this.ready.remove(lane);
        this.remove(requestId);
        this.currentPass = Math.max(this.currentPass, lane.pass);
        lane.pass += 1 / lane.weight;
        this.addReady(lane);
    }

    /** The lane of {@link findNext} can't go on until something changes for it. */
    public stopNext(): void {
        const lane = this.ready.getMin()?.key;
        if (lane !== undefined) {
            this.ready.remove(lane);
        }
    }

    private getLane(key: string, weight: number): LaneQueue {
        let lane = this.lanes.get(key);
        if (lane === undefined) {
            lane = { key, weight, pass: 0, live: 0, head: [], tail: [], tailStart: 0 };
            this.lanes.set(key, lane);
        }
        lane.weight = weight;
        return lane;
    }

    private addNode(lane: LaneQueue, requestId: string): QueueNode {
        const node = { requestId, lane, isLive: true };
        lane.live += 1;
        this.nodes.set(requestId, node);
        return node;
    }

    /** The oldest live request; drops entries that were removed on the way. */
    private findHead(lane: LaneQueue): string | undefined {
        for (let node = lane.head.at(-1); node !== undefined; node = lane.head.at(-1)) {
            if (node.isLive) {
                return node.requestId;
            }
            lane.head.pop();
        }
        for (let node = lane.tail[lane.tailStart]; node !== undefined; node = lane.tail[lane.tailStart]) {
            if (node.isLive) {
                return node.requestId;
            }
            lane.tailStart += 1;
            if (lane.tailStart > compactFrom && lane.tailStart * 2 > lane.tail.length) {
                lane.tail = lane.tail.slice(lane.tailStart);
                lane.tailStart = 0;
            }
        }
        return undefined;
    }

    private addReady(lane: LaneQueue): void {
        if (lane.live === 0 || this.ready.has(lane)) {
            return;
        }
        lane.pass = Math.max(lane.pass, this.currentPass);
        this.ready.set(lane, lane.pass);
    }
}

/** One stay of a request; a request that returns gets a new node, so that its old place doesn't come alive again. */
interface QueueNode {
    readonly requestId: string;
    readonly lane: LaneQueue;
    isLive: boolean;
}

interface LaneQueue {
    readonly key: string;
    weight: number;
    pass: number;
    live: number;
    /** Requests that came back; the last one is the lane's head. */
    readonly head: QueueNode[];
    tail: QueueNode[];
    tailStart: number;
}

/** Entries of a consumed array that are worth copying the rest for. */
const compactFrom = 64;
