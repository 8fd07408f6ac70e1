import { hashFast } from "../base/hash.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import { CircuitBreaker } from "../decisions/health/circuitBreaker.js";
import type { TargetAvailability } from "../decisions/health/targetAvailability.js";
import type { AvailabilityRegistry, TargetIncarnation } from "../decisions/health/availabilityRegistry.js";
import { ColdLimiter } from "../decisions/limits/coldLimit.js";
import type { EngineSpeed, ServiceSpeeds } from "../decisions/placement/engineSpeed.js";
import { CachedParts, type HeldMemory } from "../decisions/placement/cachedParts.js";
import type { PromptCandidate } from "../decisions/placement/promptPlacement.js";
import type { ServiceConfiguration } from "./configuration.js";
import type { TargetEntry } from "./fleetSource.js";
import type { GrantReply } from "./grants/grantMessage.js";
import type { ConnectionLimits } from "./targetConnection.js";
import type { RecordRemoval } from "./recordRemovalTracker.js";
import { TargetConnections } from "./targetConnections.js";

/** Load of other routers' requests at a target. */
export interface PeerLoad {
    readonly waitingTokens: number;
    readonly running: number;
}

/** The last denial by a target's owner. */
interface OwnerDenial {
    /** Share of the engine's limit that the denied request was allowed to use; requests that may use more are not denied. */
    readonly maxUsage: number;
    readonly untilMs: number;
}

/** Queue at a target as reported by its owner. */
interface OwnerReport {
    readonly queuedTokens: number;
    readonly atMs: number;
}

/**
 * Weight of the wait for capacity at a target whose owner denies requests. Above 1, as the request may be denied again after
 * the wait; higher for accounts within their share, whose prompts are copied to another target rather than refused.
 */
const denialWaitWeight = 1.5;
const denialWaitWeightWithinShare = 2;
const serviceTimeSmoothing = 0.1;
const emptyPeerLoad: PeerLoad = { waitingTokens: 0, running: 0 };

/** A target with this router's state of it: record, load estimates, cached parts, connections and circuit breaker. */
export class Target implements PromptCandidate, Disposable {
    public readonly idHash: number;
    public readonly connections: TargetConnections;
    public readonly circuit: CircuitBreaker;
    public readonly cold = new ColdLimiter();
    private cacheTokens = 0;
    private cachedParts = new CachedParts(0);
    /** Memory that running requests hold; undefined where this router is not the target's owner, or does not account for it. */
    public heldMemory: HeldMemory | undefined;
    private unreportedTokens = 0;
    /** Prompt tokens of this router's requests that wait for their first event. */
    public ownWaitingTokens = 0;
    /** Number of this router's running requests at the target. */
    public ownRunning = 0;
    /** Tokens that this router's running requests hold besides shared parts: prompts and expected outputs. */
    public ownHeldTokens = 0;
    public peerLoad: PeerLoad = emptyPeerLoad;
    private ownerReport: OwnerReport | undefined;
    private ownerReportedTokens = 0;
    private denial: OwnerDenial | undefined;
    /** Smoothed duration of plain requests; milliseconds, 0 before the first response. */
    public serviceTimeMs = 0;
    public coldUntilMs = Number.NEGATIVE_INFINITY;
    /** Removal of the target's record; undefined while the record is present. */
    public removal: RecordRemoval | undefined;
    /** Monotonic time of the last output to a request of this router; milliseconds. */
    public lastOutputAtMs = Number.NEGATIVE_INFINITY;
    /** Whether the target's last silence was longer than the inactivity limit of a request, with no output to any request since. */
    public isSilent = false;
    /** Monotonic time at which this router first read the record of the current incarnation; milliseconds. */
    public incarnationSeenAtMs = Number.NEGATIVE_INFINITY;
    /** Estimated time per prompt token relative to the service's model, as of the last {@link updateSpeed}. */
    public speedFactor = 1;
    private currentEntry: TargetEntry;
    private currentAvailability: TargetAvailability;
    private currentSpeed: EngineSpeed;

    public constructor(
        entry: TargetEntry,
        service: ServiceConfiguration | undefined,
        random: Random,
        limits: ConnectionLimits,
        private readonly availabilities: AvailabilityRegistry,
        private readonly speeds: ServiceSpeeds,
    ) {
        this.currentEntry = entry;
        this.currentSpeed = speeds.createEngine();
        this.idHash = hashFast(entry.id);
        this.currentAvailability = availabilities.find(this.incarnation);
        this.connections = new TargetConnections(entry.address, limits);
        this.circuit = new CircuitBreaker(random);
        this.applyService(service);
    }

    public get entry(): TargetEntry {
        return this.currentEntry;
    }

    /** Whether the current incarnation accepts requests. */
    public get availability(): TargetAvailability {
        return this.currentAvailability;
    }

    /** Estimated speed of the current incarnation. */
    public get speed(): EngineSpeed {
        return this.currentSpeed;
    }

    /** Applies a newer record of the same target, which may have restarted. */
    public applyEntry(entry: TargetEntry): void {
        const hasRestarted = entry.startedAtMs !== this.currentEntry.startedAtMs;
        this.currentEntry = entry;
        if (hasRestarted) {
            this.isSilent = false;
            this.currentAvailability = this.availabilities.find(this.incarnation);
            this.speeds.removeEngine(this.currentSpeed);
            this.currentSpeed = this.speeds.createEngine();
        }
    }

    public get id(): string {
        return this.entry.id;
    }

    public get dataCentre(): string {
        return this.entry.dataCentre;
    }

    /** The current incarnation of the target. */
    public get incarnation(): TargetIncarnation {
        return { idHash: this.idHash, startedAtMs: this.entry.startedAtMs };
    }

    public get slots(): number {
        return this.entry.slots;
    }

    /** Prompt tokens queued at the target: the larger of the routers' total and the owner's report. */
    public get waitingTokens(): number {
        return Math.max(this.ownWaitingTokens + this.peerLoad.waitingTokens, this.ownerReportedTokens);
    }

    /** Updates {@link speedFactor} to the current time. */
    public updateSpeed(nowMs: number): void {
        this.speedFactor = this.speed.estimate(nowMs).factor;
    }

    /**
     * Projects the owner's report to the current time: tokens queued then have been prefilled since, at the service's speed divided by
     * {@link speedFactor}. While the owner denies such requests, the time until the target has capacity counts as a queue.
     */
    public updateWaitingTokens(serviceTokensPerMs: number, maxUsage: number, nowMs: number): void {
        const tokensPerMs = serviceTokensPerMs / this.speedFactor;
        this.ownerReportedTokens = this.computeOwnerReportedTokens(tokensPerMs, maxUsage, nowMs);
    }

    /** The value of {@link waitingTokens} after {@link updateWaitingTokens}, without an update. */
    public computeWaitingTokens(serviceTokensPerMs: number, maxUsage: number, nowMs: number): number {
        const tokensPerMs = serviceTokensPerMs / this.speed.estimate(nowMs).factor;
        const reportedTokens = this.computeOwnerReportedTokens(tokensPerMs, maxUsage, nowMs);
        return Math.max(this.ownWaitingTokens + this.peerLoad.waitingTokens, reportedTokens);
    }

    private computeOwnerReportedTokens(tokensPerMs: number, maxUsage: number, nowMs: number): number {
        const { ownerReport } = this;
        const remainingTokens =
            ownerReport === undefined ? 0 : ownerReport.queuedTokens - (nowMs - ownerReport.atMs) * tokensPerMs;
        return Math.max(
            0,
            remainingTokens,
            this.computeDeniedMs(maxUsage, nowMs) *
                tokensPerMs *
                (maxUsage > 1 ? denialWaitWeightWithinShare : denialWaitWeight),
        );
    }

    /** Applies a reply of the target's owner. */
    public applyGrantReply(reply: GrantReply, nowMs: number): void {
        const { maxUsage } = reply;
        const granted = reply.granted ? reply.newTokens : 0;
        if (reply.speedFactor !== undefined) {
            this.speed.observeOwner(reply.speedFactor, nowMs);
            this.updateSpeed(nowMs);
        }
        this.ownerReport = { queuedTokens: reply.queuedTokens + granted, atMs: nowMs };
        const replacesDenial = maxUsage >= (this.denial?.maxUsage ?? 0) || nowMs >= (this.denial?.untilMs ?? 0);
        if (!reply.granted && replacesDenial) {
            this.denial = { maxUsage, untilMs: nowMs + reply.retryAfterMs };
        }
    }

    /** How long the target's owner will still deny such requests; milliseconds, 0 if it does not deny them. */
    public computeDeniedMs(maxUsage: number, nowMs: number): number {
        const { denial } = this;
        return denial === undefined || maxUsage > denial.maxUsage ? 0 : Math.max(0, denial.untilMs - nowMs);
    }

    public get running(): number {
        return this.ownRunning + this.peerLoad.running;
    }

    /**
     * Tokens that running requests hold: as accounted by this router if it is the engine's owner; otherwise estimated from its own requests, as
     * if those of other routers were of the same size. Undefined if it has none at the engine, while others do.
     */
    public get heldTokens(): number | undefined {
        if (this.heldMemory !== undefined) {
            return this.heldMemory.heldTokens;
        }
        if (this.running === 0) {
            return 0;
        }
        return this.ownRunning === 0 ? undefined : (this.ownHeldTokens / this.ownRunning) * this.running;
    }

    /** Applies the size of the engine's cache; the estimate of cached parts is kept if the size is unchanged. */
    public applyService(service: ServiceConfiguration | undefined): void {
        const cacheTokens = service?.engine?.cacheTokens ?? 0;
        if (cacheTokens !== this.cacheTokens) {
            this.cacheTokens = cacheTokens;
            this.cachedParts = new CachedParts(cacheTokens, () => this.heldMemory);
        }
    }

    public hasPart(partId: string): boolean {
        return this.cachedParts.has(partId);
    }

    /** Records that a request of any router uses a part, which the engine then caches; true if this must be reported to peers. */
    public recordPart(partId: string, tokens: number): boolean {
        return this.cachedParts.recordUse(partId, tokens);
    }

    /** Records tokens that a request of this router writes to the engine's cache. */
    public recordOwnWrittenTokens(tokens: number): void {
        this.unreportedTokens += tokens;
        this.cachedParts.recordWritten(tokens);
    }

    /** Records tokens that requests of other routers write to the engine's cache. */
    public recordPeerWrittenTokens(tokens: number): void {
        this.cachedParts.recordWritten(tokens);
    }

    /** Returns the tokens written by this router's requests since the last call. */
    public takeWrittenTokens(): number {
        const tokens = this.unreportedTokens;
        this.unreportedTokens = 0;
        return tokens;
    }

    public get hasUnreportedTokens(): boolean {
        return this.unreportedTokens > 0;
    }

    public removePart(partId: string): void {
        this.cachedParts.remove(partId);
    }

    /** Clears the estimate of cached parts, as the engine has restarted. */
    public clearParts(): void {
        this.cachedParts.clear();
    }

    /** Records output to a request of this router. */
    public recordOutput(nowMs: number): void {
        this.lastOutputAtMs = nowMs;
        this.isSilent = false;
    }

    public observeServiceTime(ms: number): void {
        this.serviceTimeMs += this.serviceTimeMs === 0 ? ms : (ms - this.serviceTimeMs) * serviceTimeSmoothing;
    }

    public dispose(): void {
        this.speeds.removeEngine(this.currentSpeed);
        this.connections.dispose();
    }
}
