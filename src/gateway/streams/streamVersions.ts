import { createHash } from "node:crypto";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import { selectRecordHolders } from "../../decisions/versions/recordHolders.js";
import { StreamVersionTable, type ServiceVersion } from "../../decisions/versions/streamVersionTable.js";
import type { PeerView } from "../peers/peerView.js";
import {
    OriginResolver,
    type OriginEvidence,
    type OriginResolverOptions,
    type ResumedStream,
    type StreamOrigin,
} from "./originResolver.js";
import { RecordSender, type RecordSenderOptions } from "./recordSender.js";
import type { StreamQuery, StreamReply, StreamVersionMessage } from "./streamVersionMessage.js";

export type { StreamVersionTransport } from "./recordSender.js";

/** Dependencies of {@link StreamVersions}. */
export interface StreamVersionsOptions extends OriginResolverOptions, RecordSenderOptions {
    readonly peers: Pick<PeerView, "conditions" | "countMissing" | "recordEnd">;
}

/** A stream that has begun. */
export type RecordedStream = Pick<ResumedStream, "account" | "lifetimeMs"> & { readonly requestId: string };

interface PendingQuery extends Pick<OriginEvidence, "stream" | "arrivedAtMs" | "missingRouters"> {
    readonly key: string;
    readonly waitingFor: Set<string>;
    readonly replies: StreamReply[];
    readonly resolve: (origin: StreamOrigin) => void;
    /** Until routers count as silent; afterwards, until this router's view of the targets is checked again. */
    timer: Disposable | undefined;
    hasTimedOut: boolean;
}

/** Number of routers asked for a record; more than hold it, as views of the fleet differ while routers start and stop. */
const askedRouters = 4;
/** Time-out of a query: a round trip takes a few milliseconds; the rest allows for a pause of an event loop. */
const replyTimeoutMs = 40;
/** Interval between checks of whether the targets have been read since a stream was resumed; milliseconds. */
const viewCheckMs = 50;
/** Maximum wait for the history of versions, whose read takes some milliseconds; milliseconds. */
const historyTimeoutMs = 300;
/** Maximum number of open queries; further streams count as unknown. */
const maxPendingQueries = 2_000;
const keyBytes = 12;
/** Key of queries for streams whose first request is not named. Differs from all keys of streams, as it is shorter. */
const unnamedKey = "unnamed";
/** Time by which one router may see the last target of a version go earlier than another one; milliseconds. */
const viewLagMs = 10_000;

/**
 * Knows which version of a service began a stream, also for streams that other routers served: routers end, and callers resume their
 * streams at any other one.
 *
 * A stream's version is recorded here when its first event arrives. While the service has several versions, the record is also
 * sent to two other routers, which any router finds by the stream's id. While there is only one, nothing is sent; once a second one
 * appears, the records of streams that can still be resumed follow.
 */
export class StreamVersions implements Disposable {
    private readonly table = new StreamVersionTable();
    /** Streams whose records are only here, as their service had a single version. */
    private readonly unsent = new StreamVersionTable();
    private readonly pending = new Map<number, PendingQuery>();
    private readonly resolver: OriginResolver;
    private readonly sender: RecordSender;
    private lastQueryId = 0;

    private readonly store = new DisposableStore();
    /** Called when the history of versions has been read, or on their own timers. */
    private readonly waiting = new Set<() => void>();

    public constructor(private readonly options: StreamVersionsOptions) {
        this.resolver = new OriginResolver(options);
        this.sender = this.store.add(new RecordSender(options));
        const { versions } = options.directory;
        this.store.add(versions.onDidAdd(service => this.handleAddedVersion(service)));
        this.store.add(versions.onDidLoadHistory(() => this.waiting.forEach(finish => finish())));
    }

    /** Records the version of the target that wrote a stream's first event. `leftMs`: for how long the stream can be resumed. */
    public record(stream: RecordedStream, began: ServiceVersion, leftMs: number): void {
        const nowMs = this.options.clock.nowMs();
        const entry = { key: createKey(stream), began, leftMs };
        this.table.record(entry, nowMs);
        if (this.isMixed(began, stream.lifetimeMs)) {
            this.sender.send([entry]);
        } else {
            this.unsent.record(entry, nowMs);
        }
    }

    /**
     * Finds out which version began a stream, here or at the routers that may hold its record. For a stream whose first request is not
     * named, the other routers only tell which versions they have seen.
     */
    public async find(stream: ResumedStream): Promise<StreamOrigin> {
        const { account, requestId, lifetimeMs } = stream;
        const { clock, peers } = this.options;
        const arrivedAtMs = clock.nowMs();
        const key = requestId === undefined ? unnamedKey : createKey({ account, requestId });
        const known = this.table.find(key, arrivedAtMs);
        if (known !== undefined) {
            return this.resolver.createOrigin(known);
        }
        await this.waitForHistory();
        if (this.pending.size >= maxPendingQueries) {
            return { kind: "unknown", mayBeKnown: true };
        }
        // Any routers can tell which versions they have seen; asking others each time spreads the queries.
        const rankingKey = requestId === undefined ? `${key} ${this.lastQueryId}` : key;
        const routers = selectRecordHolders(rankingKey, this.sender.listOthers(), askedRouters);
        const missingRouters = peers.countMissing(lifetimeMs);
        return new Promise(resolve => {
            const waitingFor = new Set(routers);
            const replies: StreamReply[] = [];
            const state = { timer: undefined, hasTimedOut: routers.length === 0 };
            this.startQuery({ key, stream, arrivedAtMs, missingRouters, waitingFor, replies, resolve, ...state });
        });
    }

    /** Handles a message of a known router. */
    public applyMessage(senderId: string, message: StreamVersionMessage): void {
        const nowMs = this.options.clock.nowMs();
        switch (message.kind) {
            case "records":
                message.entries.forEach(entry => this.table.record(entry, nowMs));
                break;
            case "query":
                this.options.transport.sendStreamVersions(senderId, this.createReply(message, nowMs));
                break;
            case "reply":
                this.applyReply(senderId, message);
                break;
            case "end":
                this.options.peers.recordEnd(senderId);
        }
    }

    /** Sends the records of services with several versions to other routers before this one ends, and tells all of them that it does. */
    public sendAll(): void {
        const entries = this.table.listAll(this.options.clock.nowMs());
        this.sender.send(entries.filter(({ began, leftMs }) => began !== undefined && this.isMixed(began, leftMs)));
        for (const routerId of this.sender.listOthers()) {
            this.options.transport.sendStreamVersions(routerId, { kind: "end" });
        }
    }

    public dispose(): void {
        this.store.dispose();
        for (const { timer } of this.pending.values()) {
            timer?.dispose();
        }
        this.pending.clear();
    }

    /** Waits for the history of versions, which a starting router reads soon after the targets. */
    private waitForHistory(): Promise<void> {
        const { directory, setTimer } = this.options;
        if (directory.versions.hasHistory || this.waiting.size >= maxPendingQueries) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const finish = (): void => {
                this.waiting.delete(finish);
                timer.dispose();
                resolve();
            };
            const timer = setTimer(historyTimeoutMs, finish);
            this.waiting.add(finish);
        });
    }

    private startQuery(query: PendingQuery): void {
        const { transport, setTimer } = this.options;
        const queryId = ++this.lastQueryId;
        this.pending.set(queryId, query);
        const { key, stream } = query;
        const { services, lifetimeMs: periodMs } = stream;
        for (const routerId of query.waitingFor) {
            transport.sendStreamVersions(routerId, { kind: "query", queryId, key, services, periodMs });
        }
        if (query.hasTimedOut) {
            this.updateQuery(queryId);
        } else {
            query.timer = setTimer(replyTimeoutMs, () => {
                query.hasTimedOut = true;
                this.updateQuery(queryId);
            });
        }
    }

    private applyReply(senderId: string, reply: StreamReply): void {
        const query = this.pending.get(reply.queryId);
        if (query?.waitingFor.delete(senderId) !== true) {
            return;
        }
        query.replies.push(reply);
        if (reply.entry !== undefined || query.waitingFor.size === 0 || query.hasTimedOut) {
            this.updateQuery(reply.queryId);
        }
    }

    /** Ends the query if the stream's origin can be decided now. Otherwise the next read of the targets or a late reply decides. */
    private updateQuery(queryId: number): void {
        const query = this.pending.get(queryId);
        if (query === undefined) {
            return;
        }
        query.timer?.dispose();
        const known = this.table.find(query.key, this.options.clock.nowMs());
        const evidence = { ...query, silentRouters: query.waitingFor.size };
        const origin = known === undefined ? this.resolver.resolve(evidence) : this.resolver.createOrigin(known);
        if (origin === undefined) {
            query.hasTimedOut = true;
            query.timer = this.options.setTimer(viewCheckMs, () => this.updateQuery(queryId));
        } else {
            this.pending.delete(queryId);
            query.resolve(origin);
        }
    }

    private createReply({ queryId, key, services, periodMs }: StreamQuery, nowMs: number): StreamReply {
        return {
            kind: "reply",
            queryId,
            entry: this.table.find(key, nowMs),
            seen: services.map(service => this.resolver.describeSeen(service, periodMs)),
        };
    }

    /** Sends the records that are only here, once a service has a second version. */
    private handleAddedVersion(service: string): void {
        const { directory, clock } = this.options;
        if (directory.versions.listCurrent(service).length > 1) {
            this.sender.send(this.unsent.takeService(service, clock.nowMs()));
        }
    }

    /** Whether other routers may have seen several versions of the service within the period. */
    private isMixed({ service }: ServiceVersion, periodMs: number): boolean {
        return this.options.directory.versions.findSeen(service, periodMs + viewLagMs).kind !== "sole";
    }
}

/** Key of a stream. An account can't find or overwrite the streams of another one. */
function createKey({ account, requestId }: Pick<RecordedStream, "account" | "requestId">): string {
    const digest = createHash("sha256")
        .update(JSON.stringify([account ?? "", requestId]))
        .digest();
    return digest.subarray(0, keyBytes).toString("base64url");
}
