import type { ServiceVersion, StreamEntry } from "../../decisions/versions/streamVersionTable.js";
import type { SeenVersions } from "../../decisions/versions/versionHistory.js";
import type { PeerView } from "../peers/peerView.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { StreamReply } from "./streamVersionMessage.js";

/** Recency of this router's view of the targets. */
export interface TargetView {
    /** Whether it is as recent as reads of a store that responds in time make it. */
    readonly hasFreshView: () => boolean;
    /** Monotonic time; all targets registered before it have been read. Undefined before the first read. */
    readonly getCoveredUntilMs: () => number | undefined;
}

/** Dependencies of an {@link OriginResolver}. */
export interface OriginResolverOptions extends TargetView {
    readonly peers: Pick<PeerView, "countMissing">;
    readonly directory: Pick<TargetDirectory, "versions">;
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

/** Which version began a stream. */
export type StreamOrigin =
    /** `isViewFresh`: whether this router would know targets of the version. */
    | { readonly kind: "recorded"; readonly began: ServiceVersion; readonly isViewFresh: boolean }
    /** There is no record, but a single service has had targets for as long as the stream can have lasted, of a single version. */
    | { readonly kind: "sole"; readonly began: ServiceVersion }
    /** `mayBeKnown`: this router or others that may have a record can't tell now. */
    | { readonly kind: "unknown"; readonly mayBeKnown: boolean };

/** What this router knows of a stream without a record here. */
export interface OriginEvidence {
    readonly stream: ResumedStream;
    /** When the stream was resumed; milliseconds. */
    readonly arrivedAtMs: number;
    /** Number of routers that may have served the stream and can't be asked, as they sent no recent message. */
    readonly missingRouters: number;
    readonly replies: readonly StreamReply[];
    /** Number of asked routers that have not replied in time. */
    readonly silentRouters: number;
}

/** Number of other routers that hold a stream's record. */
export const recordHolders = 2;

/** Decides which version began a stream that has no record at this router. */
export class OriginResolver {
    public constructor(private readonly options: OriginResolverOptions) {}

    /** Resolves the stream's origin; undefined if the next read of the targets can tell it. */
    public resolve(evidence: OriginEvidence): StreamOrigin | undefined {
        const { stream, replies, silentRouters, missingRouters } = evidence;
        const known = replies.map(({ entry }) => entry).find(entry => entry !== undefined);
        if (known !== undefined) {
            return this.createOrigin(known);
        }
        const { directory, hasFreshView } = this.options;
        const isOutOfStep = !hasFreshView() || (missingRouters > 0 && replies.length === 0);
        const unknown = { kind: "unknown", mayBeKnown: silentRouters > 0 || isOutOfStep } as const;
        const began = this.findOnlyVersion(stream, replies);
        if (began === undefined) {
            return { ...unknown, mayBeKnown: unknown.mayBeKnown || !directory.versions.hasHistory };
        }
        if (this.isCoveredByReplies(evidence)) {
            return { kind: "sole", began };
        }
        if (!hasFreshView() || !this.hasOwnHistory(stream)) {
            return { ...unknown, mayBeKnown: true };
        }
        return this.isCoveredByOwnView(evidence) ? { kind: "sole", began } : undefined;
    }

    /** Creates the origin of a stream with a record. */
    public createOrigin({ began }: StreamEntry): StreamOrigin {
        return began === undefined
            ? { kind: "unknown", mayBeKnown: false }
            : { kind: "recorded", began, isViewFresh: this.options.hasFreshView() };
    }

    /**
     * What this router tells others about a service's versions. A view that is out of date does not show versions that appeared since,
     * which routers that this one can't hear may have seen.
     */
    public describeSeen(service: string, periodMs: number): SeenVersions {
        const { directory, peers, hasFreshView } = this.options;
        const seen = directory.versions.findSeen(service, periodMs);
        if (seen.kind !== "sole" || hasFreshView()) {
            return seen;
        }
        return peers.countMissing(periodMs) > 0 ? { kind: "incomplete" } : { ...seen, kind: "outdated" };
    }

    /**
     * Whether the routers that replied would know a second version. With fewer silent routers than hold a record, the router that served the
     * stream or a holder of the record has replied, or the asking router is a holder itself. A router that can't be asked may have served
     * the stream while the others could not hear from it, so that nobody else has the record. While no router has a recent view, as in
     * an outage of the store, only those that know the whole period confirm anything.
     */
    private isCoveredByReplies({ replies, silentRouters, missingRouters }: OriginEvidence): boolean {
        if (missingRouters > 0 || replies.length === 0) {
            return false;
        }
        const isRecent =
            this.options.hasFreshView() || replies.some(({ seen }) => seen.some(({ kind }) => kind === "sole"));
        const confirming = replies.filter(({ seen }) => isRecent || seen.every(({ kind }) => kind !== "incomplete"));
        return confirming.length > 0 && silentRouters + replies.length - confirming.length < recordHolders;
    }

    /**
     * Whether this router's own reads show all versions that can have begun the stream. A stream begins at a target that was registered
     * before, so that a read that starts after the resumption shows it. A router without others has served the stream itself, or has
     * read the targets since its start.
     */
    private isCoveredByOwnView({ arrivedAtMs, replies, silentRouters, missingRouters }: OriginEvidence): boolean {
        const isAlone = missingRouters + silentRouters + replies.length === 0;
        const coveredUntilMs = this.options.getCoveredUntilMs() ?? Number.NEGATIVE_INFINITY;
        return isAlone || coveredUntilMs >= arrivedAtMs;
    }

    /** Whether this router knows the services' versions since the stream can have begun, up to its last read. */
    private hasOwnHistory({ services, lifetimeMs }: ResumedStream): boolean {
        const { versions } = this.options.directory;
        return services.every(service => versions.findSeen(service, lifetimeMs).kind !== "incomplete");
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
            replies.every(seen => getVersion(seen) === undefined)
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
        const reported = all.map(getVersion).filter(version => version !== undefined);
        const names = new Set([...versions.listSeen(service, lifetimeMs), ...reported]);
        const [version] = names;
        return reported.length > 0 && names.size === 1 && all.every(({ kind }) => kind !== "mixed")
            ? { service, version }
            : undefined;
    }
}

const incomplete: SeenVersions = { kind: "incomplete" };

function getVersion(seen: SeenVersions): string | undefined {
    return seen.kind === "sole" || seen.kind === "outdated" ? seen.version : undefined;
}
