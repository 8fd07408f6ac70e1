/**
 * The router's backlog: one first-in-first-out queue per lane, and a weighted round robin over the lanes that are ready.
 *
 * Load patterns: overload by one account, and many waiting requests when a target recovers. In a single shared queue a
 * request at the head whose account has no free slot blocks all others (head-of-line blocking), and the account that
 * sends the most requests is served most. Here a blocked lane is taken out of the round robin until its state changes, and a long
 * backlog is drained in batches in which each lane is scheduled by its weight (stride scheduling; Waldspurger and Weihl, 1995).
 * Adding, taking and removing a request cost O(log lanes), independent of the number of waiting requests.
 */

import { IndexedHeap } from "../structures/indexedHeap.js";

/** Queues of request ids, one per lane. */
export class Backlog {
    private readonly lanes = new Map<string, LaneQueue>();
    private readonly nodes = new Map<string, QueueNode>();
    private readonly ready = new IndexedHeap<LaneQueue>();
    /** Pass value of the lane scheduled last. A lane that becomes ready again starts here, so idle time earns it no extra turns. */
    private currentPass = 0;

    /** Number of waiting requests in all lanes. */
    public get size(): number {
        return this.nodes.size;
    }

    /** Appends a request to its lane and marks the lane ready. */
    public add(laneKey: string, weight: number, requestId: string): void {
        const lane = this.getLane(laneKey, weight);
        lane.tail.push(this.addNode(lane, requestId));
        this.addReady(lane);
    }

    /** Inserts a request at the head of its lane; for requests that were taken before and have to wait again. */
    public addFirst(laneKey: string, weight: number, requestId: string): void {
        const lane = this.getLane(laneKey, weight);
        lane.head.push(this.addNode(lane, requestId));
        this.addReady(lane);
    }

    /** Removes a request from any position; does nothing if it is not queued. */
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

    /** Number of requests waiting in a lane. */
    public count(laneKey: string): number {
        return this.lanes.get(laneKey)?.live ?? 0;
    }

    /** Ids of the requests waiting in a lane, the next one first. */
    public list(laneKey: string): readonly string[] {
        const lane = this.lanes.get(laneKey);
        if (lane === undefined) {
            return [];
        }
        const nodes = [...lane.head.toReversed(), ...lane.tail.slice(lane.tailStart)];
        return nodes.filter(node => node.isLive).map(node => node.requestId);
    }

    /** Marks a lane ready after a change that may have unblocked it. */
    public handleLaneChanged(laneKey: string): void {
        const lane = this.lanes.get(laneKey);
        if (lane !== undefined) {
            this.addReady(lane);
        }
    }

    /** Marks all lanes ready after a change that may have unblocked any of them. */
    public handleAllChanged(): void {
        for (const lane of this.lanes.values()) {
            this.addReady(lane);
        }
    }

    /** The next request to schedule, without removing it; undefined if no lane is ready. */
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

    /** Removes the request that {@link findNext} returns and advances its lane's pass by the inverse of the lane's weight. */
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

    /** Marks the lane of {@link findNext} as blocked; it becomes ready again when its state changes or a request is added. */
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

    /** The oldest live request; discards entries of removed requests before it. */
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
            if (lane.tailStart > minCompactedEntries && lane.tailStart * 2 > lane.tail.length) {
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

/** One queue entry. A request that is queued again gets a new node, so that its old entry doesn't become live again. */
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
    /** Requests inserted by {@link Backlog.addFirst}; the last element is the lane's head. */
    readonly head: QueueNode[];
    tail: QueueNode[];
    tailStart: number;
}

/** Number of consumed entries from which an array is compacted. */
const minCompactedEntries = 64;
