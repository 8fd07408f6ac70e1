import type { ServiceVersion } from "../../decisions/versions/streamVersionTable.js";
import type { TargetEntry } from "../fleetSource.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { RoutedRequest } from "../routedRequest.js";
import type { VersionSelection } from "../rollouts/versionSelection.js";
import type { Target } from "../target.js";
import type { StreamOrigin } from "./originResolver.js";

/** Why a stream can't be resumed. `retryAfterMs`: undefined if a retry would not help. */
export interface ResumptionRefusal {
    readonly reason: "stream-version-unknown" | "stream-version-gone";
    readonly retryAfterMs: number | undefined;
}

/** How the version that began a resumed stream was found; "unnamed": the caller did not name the request that began it. */
export type OriginSource = StreamOrigin["kind"] | "unnamed";

/** A stream's version, for the log. */
export interface BindingDetails {
    /** Set if the caller resumes a stream. */
    readonly originSource: OriginSource | undefined;
    /** Version that the stream is bound to; undefined before its first event. */
    readonly streamVersion: string | undefined;
}

/** A stream can be resumed for a multiple of its route's timeout: each of up to five resumptions has a deadline of its own. */
const lifetimePerTimeout = 6;
/** Retry time if this router or others may soon know the stream's version, or targets of it. */
const unknownRetryMs = 300;

/** Keeps a request's stream at the version of the target that wrote its first event. Requests for other responses may go anywhere. */
export class StreamBinding {
    private readonly isStream: boolean;
    private selection: VersionSelection | undefined;
    private began: ServiceVersion | undefined;
    private originSource: OriginSource | undefined;

    public constructor(
        private readonly context: Pick<
            GatewayContext,
            "rollouts" | "directory" | "streams" | "configuration" | "clock"
        >,
        private readonly routed: RoutedRequest,
    ) {
        this.isStream = routed.route.kind === "stream";
    }

    /** Versions that the next attempt may go to; undefined before {@link open}. */
    public get versions(): VersionSelection | undefined {
        return this.selection;
    }

    /** Whether the caller resumes a stream that is known to have begun. */
    public get isContinued(): boolean {
        return this.originSource === "recorded";
    }

    public get details(): BindingDetails {
        return { originSource: this.originSource, streamVersion: this.began?.version };
    }

    /** Selects the versions for the first attempt. Returns why a resumed stream can't be continued, if it can't. */
    public async open(services: readonly string[]): Promise<ResumptionRefusal | undefined> {
        const { lastEventId, resumedRequestId } = this.routed.head;
        if (!this.isStream || (lastEventId === undefined && resumedRequestId === undefined)) {
            return this.openAny(services);
        }
        const lifetimeMs = this.computeLifetimeMs();
        const origins = this.listOrigins(services, lifetimeMs);
        if (origins === undefined) {
            this.originSource = "unknown";
            return { reason: "stream-version-unknown", retryAfterMs: undefined };
        }
        const origin = await this.context.streams.find({
            account: this.routed.account,
            requestId: resumedRequestId,
            services: origins,
            lifetimeMs,
        });
        this.originSource = resumedRequestId === undefined ? "unnamed" : origin.kind;
        switch (origin.kind) {
            case "recorded":
            case "sole":
                return services.includes(origin.began.service)
                    ? this.openVersion(origin)
                    : { reason: "stream-version-gone", retryAfterMs: undefined };
            case "unknown":
                return {
                    reason: "stream-version-unknown",
                    retryAfterMs: origin.mayBeKnown ? unknownRetryMs : undefined,
                };
        }
    }

    /**
     * Binds the stream to the version of the target that writes its first event. Also called after an attempt, as output that ends it, such
     * as too many events at once, is not reported as output. `entry`: record of the target when the request was sent.
     */
    public observeOutput({ service, version }: TargetEntry): void {
        if (!this.isStream || this.began !== undefined) {
            return;
        }
        const { head, account, route } = this.routed;
        this.began = { service, version: version ?? "" };
        this.selection = this.createSelection(this.began);
        const requestId = head.resumedRequestId ?? head.requestId;
        if (requestId !== undefined) {
            const leftMs = head.remainingMs ?? route.timeoutMs;
            this.context.streams.record(
                { account, requestId, lifetimeMs: this.computeLifetimeMs() },
                this.began,
                leftMs,
            );
        }
    }

    private openAny(services: readonly string[]): undefined {
        this.selection = this.context.rollouts.open(services[0], this.routed.route.name);
    }

    /** Services that can have begun a stream; undefined if not all of them are known. */
    private listOrigins(services: readonly string[], lifetimeMs: number): readonly string[] | undefined {
        const { configuration, clock } = this.context;
        const { route, path } = this.routed;
        const named = configuration.listStreamServices(route.host, path, lifetimeMs, clock.nowMs());
        return named === undefined ? undefined : [...new Set([...services, ...named])];
    }

    private openVersion(origin: Exclude<StreamOrigin, { kind: "unknown" }>): ResumptionRefusal | undefined {
        const { began } = origin;
        this.selection = this.createSelection(began);
        // A stream that is not named waits for a target like a new one: it may have had no event yet.
        const isServed = this.context.directory.listAll().some(target => hasVersion(target, began));
        if (isServed || this.originSource === "unnamed") {
            return undefined;
        }
        const mayBeServed = origin.kind === "recorded" && !origin.isViewFresh;
        return mayBeServed
            ? { reason: "stream-version-unknown", retryAfterMs: unknownRetryMs }
            : { reason: "stream-version-gone", retryAfterMs: undefined };
    }

    private createSelection(began: ServiceVersion): VersionSelection {
        return this.context.rollouts.openResumption(target => hasVersion(target, began));
    }

    private computeLifetimeMs(): number {
        const { head, route } = this.routed;
        return Math.max(route.timeoutMs * lifetimePerTimeout, head.remainingMs ?? 0);
    }
}

function hasVersion({ entry }: Target, { service, version }: ServiceVersion): boolean {
    return entry.service === service && (entry.version ?? "") === version;
}
