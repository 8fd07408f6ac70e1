import { LRUCache } from "lru-cache";
import type { Clock } from "../../base/clock.js";
import { EngineBudget, type EngineRate } from "../../decisions/admission/engineBudget.js";
import { computeMaxEngineUsage } from "../../decisions/admission/promptAdmission.js";
import type { PrefillShare } from "../../decisions/admission/prefillShare.js";
import type { FirstTokenModel } from "../../decisions/placement/firstTokenModel.js";
import { countMissingTokens } from "../../decisions/placement/promptPlacement.js";
import { EngineShares } from "../../decisions/shares/engineShares.js";
import type { LazyMap } from "../lazyMap.js";
import type { Target } from "../target.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { GrantReply, GrantReport, GrantRequest } from "./grantMessage.js";

/** Dependencies of a {@link GrantOwner}. */
export interface GrantOwnerOptions {
    readonly directory: TargetDirectory;
    readonly clock: Clock;
    /** First-token models by service. */
    readonly firstTokenModels: LazyMap<FirstTokenModel>;
    /** Prefill shares by service. */
    readonly prefillShares: LazyMap<PrefillShare>;
}

/** Maximum number of engines with state in memory; several times what one router of a large fleet owns. */
const maxEngines = 4_096;
/** Retry delay of a denial for a leaving target; covers several message rounds between routers. Milliseconds. */
const leavingDenialMs = 4_000;

/** State of one engine. */
interface EngineState {
    readonly budget: EngineBudget;
    readonly shares: EngineShares;
}

/** Grants or denies sends to the engines that this router owns, on behalf of all routers. */
export class GrantOwner {
    private readonly engines = new LRUCache<number, EngineState>({ max: maxEngines });

    public constructor(private readonly options: GrantOwnerOptions) {}

    /** Decides on a request. `senderId`: id of the router that sent it. */
    public check(senderId: string, request: GrantRequest): GrantReply {
        const target = this.options.directory.findByHash(request.targetHash);
        if (target === undefined) {
            return createUnknownReply(request);
        }
        // The sender has not yet received that the target is leaving. Without a denial it would decide by its estimates and send to a
        // target that is about to stop.
        if (target.availability.leaving !== undefined && !request.isUnconditional) {
            return createLeavingReply(request);
        }
        const nowMs = this.options.clock.nowMs();
        target.updateSpeed(nowMs);
        const rate = this.createRate(target);
        const newTokens = countNewTokens(target, request);
        const prefill = {
            id: formatGrantKey(senderId, request),
            tokens: newTokens,
            maxQueuedTokens: request.maxWaitMs * rate.tokensPerMs,
            maxUsage: this.computeMaxUsage(request, nowMs),
            windowMs: request.windowMs,
        };
        const { budget, shares } = this.findEngine(request.targetHash);
        shares.recordRequested(request.accountHash, request.chargedTokens, nowMs);
        const decision = budget.check(prefill, rate, nowMs);
        if (request.isUnconditional) {
            budget.record(prefill, rate, nowMs);
        }
        if (decision.granted || request.isUnconditional) {
            shares.recordGranted(request.accountHash, request.chargedTokens, nowMs);
            recordParts(target, request, newTokens);
        }
        const { maxUsage } = prefill;
        return { kind: "reply", grantId: request.grantId, isTargetKnown: true, newTokens, maxUsage, ...decision };
    }

    /** Applies a progress report. `senderId`: id of the router that holds the grant. */
    public applyReport(senderId: string, report: GrantReport): void {
        const { budget } = this.findEngine(report.targetHash);
        const key = formatGrantKey(senderId, report);
        if (report.progress === "started") {
            budget.recordStart(key);
        } else {
            budget.recordEnd(key, report.progress === "ended");
        }
    }

    /** Fraction of the limit that the request may use: that in the request, or less if the engine has already served its account much. */
    private computeMaxUsage({ targetHash, accountHash, chargedTokens, maxUsage }: GrantRequest, nowMs: number): number {
        const surplus = this.findEngine(targetHash).shares.computeSurplus(accountHash, chargedTokens, nowMs);
        return Math.min(maxUsage, computeMaxEngineUsage(surplus));
    }

    private findEngine(targetHash: number): EngineState {
        let engine = this.engines.get(targetHash);
        if (engine === undefined) {
            engine = { budget: new EngineBudget(), shares: new EngineShares() };
            this.engines.set(targetHash, engine);
        }
        return engine;
    }

    /**
     * The engine's own rate: that of the service's model, divided by the factor of the engine. An owner that has seen few responses may have
     * a prefill speed that is far too low, as all of these were delayed by a queue; it is then the mean speed, which accounts for queues.
     */
    private createRate({ entry, speedFactor }: Target): EngineRate {
        const { directory, firstTokenModels, prefillShares } = this.options;
        const { prefillTokensPerMs, tokensPerMs } = firstTokenModels.getOrCreate(entry.service);
        const isMeanUsed = directory.hasSpeedReports(entry.service) && tokensPerMs > prefillTokensPerMs;
        return {
            tokensPerMs: (isMeanUsed ? tokensPerMs : prefillTokensPerMs) / speedFactor,
            slots: entry.slots,
            readingShare: prefillShares.getOrCreate(entry.service).current,
        };
    }
}

/** A denial that holds until the sender has received from its peers that the target is leaving. */
function createLeavingReply({ grantId, maxUsage }: GrantRequest): GrantReply {
    const denial = { newTokens: 0, queuedTokens: 0, usage: 1, maxUsage, retryAfterMs: leavingDenialMs };
    return { kind: "reply", grantId, isTargetKnown: true, granted: false, ...denial };
}

function createUnknownReply({ grantId }: GrantRequest): GrantReply {
    const zeros = { newTokens: 0, queuedTokens: 0, usage: 0, maxUsage: 0, retryAfterMs: 0 };
    return { kind: "reply", grantId, isTargetKnown: false, granted: false, ...zeros };
}

/** Prompt tokens that the engine has to prefill: those not cached there by earlier requests and not copied from another engine. */
function countNewTokens(target: Target, { sharedParts, ownTokens, copiedTokens }: GrantRequest): number {
    return ownTokens + Math.max(0, countMissingTokens(target, sharedParts) - copiedTokens);
}

/** Records as cached what the engine is about to prefill. Peers' messages report it only a round later. */
function recordParts(target: Target, { sharedParts, outputTokens }: GrantRequest, newTokens: number): void {
    sharedParts.forEach(part => target.recordPart(part.id, part.tokens));
    target.recordPeerWrittenTokens(newTokens + outputTokens);
}

function formatGrantKey(senderId: string, { incarnation, grantId }: { incarnation: number; grantId: number }): string {
    return `${senderId} ${incarnation} ${grantId}`;
}
