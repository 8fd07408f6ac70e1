import { createHash } from "node:crypto";
import type { Clock } from "../../base/clock.js";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import type { SetTimer } from "../../base/timers.js";
import { selectRecordHolders } from "../../decisions/versions/recordHolders.js";
import {
    StreamVersionTable,
    type ServiceVersion,
    type StreamEntry,
} from "../../decisions/versions/streamVersionTable.js";
import type { SeenVersions } from "../../decisions/versions/versionHistory.js";
import type { PeerView } from "../peers/peerView.js";
import type { TargetDirectory } from "../targetDirectory.js";
import { maxEntries, type StreamQuery, type StreamReply, type StreamVersionMessage } from "./streamVersionMessage.js";

/** Sends messages to other routers; delivery is not guaranteed. */
export interface StreamVersionTransport {
    sendStreamVersions(routerId: string, message: StreamVersionMessage): void;
}

/** Dependencies of {@link StreamVersions}. */
export interface StreamVersionsOptions {
    readonly ownId: string;
    readonly peers: Pick<PeerView, "conditions">;
    readonly directory: Pick<TargetDirectory, "versions">;
    readonly transport: StreamVersionTransport;
    /** Whether this router's view of the targets is as recent as reads of a store that responds in time make it. */
    readonly hasFreshView: () => boolean;
    readonly clock: Clock;
    readonly setTimer: SetTimer;
}

/** A stream that a caller resumes. */
export interface ResumedStream {
    readonly account: string | undefined;
    /** Request that received the stream's first event; undefined if the caller does not name it. */
    readonly requestId: string | undefined;
    /** Services that the request's route names or has named since the stream can have begun. */
    readonly services: readonly string[];
    /** Longest time for which a stream of the request's kind can be resumed; milliseconds. */
    readonly lifetimeMs: number;
}

/** A stream that has begun. */
export type RecordedStream = Pick<ResumedStream, "account" | "lifetimeMs"> & { readonly requestId: string };

/** Which version began a stream. */
export type StreamOrigin =
    | { readonly kind: "recorded"; readonly began: ServiceVersion }
    /** There is no record, but a single service has had targets for as long as the stream can have lasted, of a single version. */
    | { readonly kind: "sole"; readonly began: ServiceVersion }
    /** `mayBeKnown`: some routers that may have a record did not reply. */
    | { readonly kind: "unknown"; readonly mayBeKnown: boolean };

interface PendingQuery {
    readonly stream: ResumedStream;
    readonly waitingFor: Set<string>;
    readonly replies: StreamReply[];
    readonly timer: Disposable;
    readonly resolve: (origin: StreamOrigin) => void;
}

/** Number of other routers that hold a stream's record. */
const recordHolders = 2;
/** Number of routers asked for a record; more than hold it, as views of the fleet differ while routers start and stop. */
const askedRouters = 4;
/** Time-out of a query: a round trip takes a few milliseconds; the rest allows for a pause of an event loop. */
const replyTimeoutMs = 40;
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
    private lastQueryId = 0;

    private readonly store = new DisposableStore();
    /** Called when the history of versions has been read, or on their own timers. */
    private readonly waiting = new Set<() => void>();

    public constructor(private readonly options: StreamVersionsOptions) {
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
            this.sendRecords([entry]);
        } else {
            this.unsent.record(entry, nowMs);
        }
    }

    /**
     * Finds out which version began a stream, here or at the routers that may hold its record. For a stream whose first request is not
     * named, the other routers only tell which versions they have seen.
     */
    public async find(stream: ResumedStream): Promise<StreamOrigin> {
        const { account, requestId } = stream;
        const key = requestId === undefined ? unnamedKey : createKey({ account, requestId });
        const known = this.table.find(key, this.options.clock.nowMs());
        if (known !== undefined) {
            return toOrigin(known);
        }
        await this.waitForHistory();
        // Any routers can tell which versions they have seen; asking others each time spreads the queries.
        const rankingKey = requestId === undefined ? `${key} ${this.lastQueryId}` : key;
        const routers = selectRecordHolders(rankingKey, this.listOthers(), askedRouters);
        if (this.pending.size >= maxPendingQueries) {
            return { kind: "unknown", mayBeKnown: true };
        }
        if (routers.length === 0) {
            return this.resolveOrigin(stream, [], 0);
        }
        return new Promise(resolve => this.sendQuery(key, stream, routers, resolve));
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
        }
    }

    /** Sends the records of services with several versions to other routers before this one ends. */
    public sendAll(): void {
        const entries = this.table.listAll(this.options.clock.nowMs());
        this.sendRecords(entries.filter(({ began, leftMs }) => began !== undefined && this.isMixed(began, leftMs)));
    }

    public dispose(): void {
        this.store.dispose();
        for (const { timer } of this.pending.values()) {
            timer.dispose();
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

    private sendQuery(
        key: string,
        stream: ResumedStream,
        routers: readonly string[],
        resolve: (origin: StreamOrigin) => void,
    ): void {
        const { transport, setTimer } = this.options;
        const queryId = ++this.lastQueryId;
        const timer = setTimer(replyTimeoutMs, () => this.endQuery(queryId));
        this.pending.set(queryId, { stream, waitingFor: new Set(routers), replies: [], timer, resolve });
        const { services, lifetimeMs: periodMs } = stream;
        for (const routerId of routers) {
            transport.sendStreamVersions(routerId, { kind: "query", queryId, key, services, periodMs });
        }
    }

    private applyReply(senderId: string, reply: StreamReply): void {
        const query = this.pending.get(reply.queryId);
        if (query?.waitingFor.delete(senderId) !== true) {
            return;
        }
        query.replies.push(reply);
        if (reply.entry !== undefined || query.waitingFor.size === 0) {
            this.endQuery(reply.queryId);
        }
    }

    private endQuery(queryId: number): void {
        const query = this.pending.get(queryId);
        if (query !== undefined) {
            this.pending.delete(queryId);
            query.timer.dispose();
            query.resolve(this.resolveOrigin(query.stream, query.replies, query.waitingFor.size));
        }
    }

    /** `silentRouters`: number of asked routers that did not reply. */
    private resolveOrigin(stream: ResumedStream, replies: readonly StreamReply[], silentRouters: number): StreamOrigin {
        const known = replies.map(({ entry }) => entry).find(entry => entry !== undefined);
        if (known !== undefined) {
            return toOrigin(known);
        }
        const began = this.findOnlyVersion(stream, replies);
        // The router that served the stream may be the only one that had seen its version. With fewer silent routers than hold a record,
        // it or a holder of the record has replied, or the asking router is a holder itself. With more, this router's own view decides.
        const isCovered = silentRouters < recordHolders || this.hasOwnView(stream);
        return isCovered && began !== undefined
            ? { kind: "sole", began }
            : { kind: "unknown", mayBeKnown: silentRouters > 0 || !this.options.directory.versions.hasHistory };
    }

    /** The only version of any service that can have begun the stream; undefined if there may be several. */
    private findOnlyVersion(stream: ResumedStream, replies: readonly StreamReply[]): ServiceVersion | undefined {
        const possible = stream.services.flatMap((service, index) => {
            const seen = replies.map(reply => reply.seen.at(index) ?? incomplete);
            return this.isUnused(service, stream, seen) ? [] : [this.findSole(service, stream, seen)];
        });
        return possible.length === 1 ? possible[0] : undefined;
    }

    /** Whether the service has had no target since the stream can have begun. Replies don't tell that from several versions. */
    private isUnused(service: string, { lifetimeMs }: ResumedStream, replies: readonly SeenVersions[]): boolean {
        const { directory, hasFreshView } = this.options;
        return (
            hasFreshView() &&
            directory.versions.isUnused(service, lifetimeMs) &&
            replies.every(({ kind }) => kind !== "sole")
        );
    }

    /**
     * The only version of the service that any router has seen; undefined if there were several, or no router has seen the whole period.
     * `replies`: what the other routers have seen.
     */
    private findSole(
        service: string,
        { lifetimeMs }: ResumedStream,
        replies: readonly SeenVersions[],
    ): ServiceVersion | undefined {
        const { versions } = this.options.directory;
        const all = [versions.findSeen(service, lifetimeMs), ...replies];
        const own = versions.listSeen(service, lifetimeMs);
        const names = new Set([...own, ...all.flatMap(seen => (seen.kind === "sole" ? [seen.version] : []))]);
        const [version] = names;
        const isObserved = all.some(({ kind }) => kind === "sole");
        return isObserved && names.size === 1 && all.every(({ kind }) => kind !== "mixed")
            ? { service, version }
            : undefined;
    }

    /** Whether this router knows by itself which versions the services have had while the stream can have lasted. */
    private hasOwnView({ services, lifetimeMs }: ResumedStream): boolean {
        const { directory, hasFreshView } = this.options;
        return (
            hasFreshView() &&
            services.every(service => directory.versions.findSeen(service, lifetimeMs).kind !== "incomplete")
        );
    }

    private createReply({ queryId, key, services, periodMs }: StreamQuery, nowMs: number): StreamReply {
        const { versions } = this.options.directory;
        return {
            kind: "reply",
            queryId,
            entry: this.table.find(key, nowMs),
            seen: services.map(service => versions.findSeen(service, periodMs)),
        };
    }

    /** Sends the records that are only here, once a service has a second version. */
    private handleAddedVersion(service: string): void {
        const { directory, clock } = this.options;
        if (directory.versions.listCurrent(service).length > 1) {
            this.sendRecords(this.unsent.takeService(service, clock.nowMs()));
        }
    }

    /** Whether other routers may have seen several versions of the service within the period. */
    private isMixed({ service }: ServiceVersion, periodMs: number): boolean {
        return this.options.directory.versions.findSeen(service, periodMs + viewLagMs).kind !== "sole";
    }

    /** Sends each record to the routers that hold it, with several records in a message. */
    private sendRecords(entries: readonly StreamEntry[]): void {
        const others = this.listOthers();
        const byRouter = new Map<string, StreamEntry[]>();
        for (const entry of entries) {
            for (const routerId of selectRecordHolders(entry.key, others, recordHolders)) {
                const batch = byRouter.get(routerId) ?? [];
                batch.push(entry);
                byRouter.set(routerId, batch);
            }
        }
        for (const [routerId, batch] of byRouter) {
            for (let start = 0; start < batch.length; start += maxEntries) {
                const message = { kind: "records", entries: batch.slice(start, start + maxEntries) } as const;
                this.options.transport.sendStreamVersions(routerId, message);
            }
        }
    }

    /** The other routers with a recent message; a router that has ended would hold no record. */
    private listOthers(): readonly string[] {
        return [...this.options.peers.conditions.keys()].filter(id => id !== this.options.ownId);
    }
}

const incomplete: SeenVersions = { kind: "incomplete" };

/** Key of a stream. An account can't find or overwrite the streams of another one. */
function createKey({ account, requestId }: Pick<RecordedStream, "account" | "requestId">): string {
    const digest = createHash("sha256")
        .update(JSON.stringify([account ?? "", requestId]))
        .digest();
    return digest.subarray(0, keyBytes).toString("base64url");
}

function toOrigin({ began }: StreamEntry): StreamOrigin {
    return began === undefined ? { kind: "unknown", mayBeKnown: false } : { kind: "recorded", began };
}
