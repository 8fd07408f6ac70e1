import { hashFast } from "../base/hash.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import { CircuitBreaker } from "../decisions/health/circuitBreaker.js";
import type { TargetAvailability } from "../decisions/health/targetAvailability.js";
import type { AvailabilityRegistry, TargetIncarnation } from "../decisions/health/availabilityRegistry.js";
import { ColdLimiter } from "../decisions/limits/coldLimit.js";
import { CachedParts } from "../decisions/placement/cachedParts.js";
import type { PromptCandidate } from "../decisions/placement/promptPlacement.js";
import type { ServiceConfiguration } from "./configuration.js";
import type { TargetEntry } from "./fleetSource.js";
import type { GrantReply } from "./grants/grantMessage.js";
import type { ConnectionLimits } from "./targetConnection.js";
import type { RecordRemoval } from "./recordRemovalTracker.js";
import { TargetConnections } from "./targetConnections.js";

/** What other routers have under way at a target. */
export interface PeerLoad {
    readonly waitingTokens: number;
    readonly running: number;
}

/** What a target's owner turned away. */
interface OwnerDenial {
    /** Part of the limit that the request might have used; one that may use more has not been turned away. */
    readonly mostUse: number;
    readonly untilMs: number;
}

/** What a target's owner said of it. */
interface OwnerReport {
    readonly aheadTokens: number;
    readonly atMs: number;
}

/**
 * Times that the wait for room at a target that turns requests away counts against it. Above 1, as the wait may be for nothing; more
 * for accounts within their share, whose prompts are rather copied elsewhere than refused.
 */
const deniedWeight = 1.5;
const deniedWeightWithinShare = 2;
const serviceTimeSmoothing = 0.1;
const nothing: PeerLoad = { waitingTokens: 0, running: 0 };

/** A target as this router knows it. */
export class Target implements PromptCandidate, Disposable {
    public readonly idHash: number;
    public readonly connections: TargetConnections;
    public readonly circuit: CircuitBreaker;
    public readonly cold = new ColdLimiter();
    private cacheTokens = 0;
    private heldParts = new CachedParts(0);
    private unreportedTokens = 0;
    /** Prompt tokens of this router's requests that have not had their first event. */
    public ownWaitingTokens = 0;
    /** This router's requests under way. */
    public ownRunning = 0;
    public peerLoad: PeerLoad = nothing;
    private ownerReport: OwnerReport | undefined;
    private reportedTokens = 0;
    private denial: OwnerDenial | undefined;
    /** Smoothed time of a whole plain answer; milliseconds; 0 before the first. */
    public serviceTimeMs = 0;
    public coldUntilMs = Number.NEGATIVE_INFINITY;
    /** That its record is gone; undefined: the record is there. */
    public removal: RecordRemoval | undefined;
    /** Since when this router knows of this start of it; monotonic. */
    public incarnationSeenAtMs = Number.NEGATIVE_INFINITY;
    private currentEntry: TargetEntry;
    private currentAvailability: TargetAvailability;

    public constructor(
        entry: TargetEntry,
        service: ServiceConfiguration | undefined,
        random: Random,
        limits: ConnectionLimits,
        private readonly availabilities: AvailabilityRegistry,
    ) {
        this.currentEntry = entry;
        this.idHash = hashFast(entry.id);
        this.currentAvailability = availabilities.find(this.incarnation);
        this.connections = new TargetConnections(entry.address, limits);
        this.circuit = new CircuitBreaker(random);
        this.applyService(service);
    }

    public get entry(): TargetEntry {
        return this.currentEntry;
    }

    /** Whether this start of the target takes requests. */
    public get availability(): TargetAvailability {
        return this.currentAvailability;
    }

    /** Takes a newer record of the same target, which may have started anew. */
    public applyEntry(entry: TargetEntry): void {
        const hasRestarted = entry.startedAtMs !== this.currentEntry.startedAtMs;
        this.currentEntry = entry;
        if (hasRestarted) {
            this.currentAvailability = this.availabilities.find(this.incarnation);
        }
    }

    public get id(): string {
        return this.entry.id;
    }

    public get dataCentre(): string {
        return this.entry.dataCentre;
    }

    /** This start of the target. */
    public get incarnation(): TargetIncarnation {
        return { idHash: this.idHash, startedAtMs: this.entry.startedAtMs };
    }

    public get slots(): number {
        return this.entry.slots;
    }

    /** Prompt tokens that wait there, as routers reported or as its owner did, whichever is more. */
    public get waitingTokens(): number {
        return Math.max(this.ownWaitingTokens + this.peerLoad.waitingTokens, this.reportedTokens);
    }

    /**
     * Brings the owner's report up to date: what waited then has been read at the given speed since. While the owner turns such
     * requests away, the time until it has room counts as a queue.
     */
    public updateWaitingTokens(tokensPerMs: number, mostUse: number, nowMs: number): void {
        const { ownerReport } = this;
        const waitingTokens =
            ownerReport === undefined ? 0 : ownerReport.aheadTokens - (nowMs - ownerReport.atMs) * tokensPerMs;
        this.reportedTokens = Math.max(
            0,
            waitingTokens,
            this.computeDeniedMs(mostUse, nowMs) * tokensPerMs * (mostUse > 1 ? deniedWeightWithinShare : deniedWeight),
        );
    }

    /** Takes what the target's owner answered. */
    public applyGrantReply(reply: GrantReply, nowMs: number): void {
        const { maxUsage: mostUse } = reply;
        const granted = reply.granted ? reply.newTokens : 0;
        this.ownerReport = { aheadTokens: reply.queuedTokens + granted, atMs: nowMs };
        const isWider = mostUse >= (this.denial?.mostUse ?? 0) || nowMs >= (this.denial?.untilMs ?? 0);
        if (!reply.granted && isWider) {
            this.denial = { mostUse, untilMs: nowMs + reply.retryAfterMs };
        }
    }

    /** How long its owner goes on turning such requests away; milliseconds, 0 if it does not. */
    public computeDeniedMs(mostUse: number, nowMs: number): number {
        const { denial } = this;
        return denial === undefined || mostUse > denial.mostUse ? 0 : Math.max(0, denial.untilMs - nowMs);
    }

    public get running(): number {
        return this.ownRunning + this.peerLoad.running;
    }

    /** Takes the size of the engine's memory; what it is believed to hold is kept while the size stays. */
    public applyService(service: ServiceConfiguration | undefined): void {
        const cacheTokens = service?.engine?.cacheTokens ?? 0;
        if (cacheTokens !== this.cacheTokens) {
            this.cacheTokens = cacheTokens;
            this.heldParts = new CachedParts(cacheTokens);
        }
    }

    public hasPart(partId: string): boolean {
        return this.heldParts.has(partId);
    }

    /** Notes that a request of this router or another one uses a part, which the engine then holds. True: to be reported to peers. */
    public recordPart(partId: string, tokens: number): boolean {
        return this.heldParts.recordUse(partId, tokens);
    }

    /** Tokens that this router's request writes into the engine's memory. */
    public recordOwnWrittenTokens(tokens: number): void {
        this.unreportedTokens += tokens;
        this.heldParts.recordWritten(tokens);
    }

    /** The same of other routers' requests. */
    public recordPeerWrittenTokens(tokens: number): void {
        this.heldParts.recordWritten(tokens);
    }

    /** What this router's requests wrote since the last call. */
    public takeWrittenTokens(): number {
        const tokens = this.unreportedTokens;
        this.unreportedTokens = 0;
        return tokens;
    }

    public get hasUnreportedTokens(): boolean {
        return this.unreportedTokens > 0;
    }

    public removePart(partId: string): void {
        this.heldParts.remove(partId);
    }

    /** What it held is gone, as it was started anew. */
    public clearParts(): void {
        this.heldParts.clear();
    }

    public observeServiceTime(ms: number): void {
        this.serviceTimeMs += this.serviceTimeMs === 0 ? ms : (ms - this.serviceTimeMs) * serviceTimeSmoothing;
    }

    public dispose(): void {
        this.connections.dispose();
    }
}
