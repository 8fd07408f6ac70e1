import { LRUCache } from "lru-cache";
import type { Clock } from "../../base/clock.js";
import { EngineBudget, type EngineRate, type PrefillDecision } from "../../decisions/admission/engineBudget.js";
import { EngineMemory, type MemoryDemand } from "../../decisions/admission/engineMemory.js";
import {
    addAllowance,
    isBelowLevelUsage,
    computeMaxEngineUsage,
    isWithinShareUsage,
} from "../../decisions/admission/promptAdmission.js";
import { minSentUsage, SpareAllowance } from "../../decisions/admission/spareAllowance.js";
import type { PrefillShare } from "../../decisions/admission/prefillShare.js";
import type { HeldMemory } from "../../decisions/placement/cachedParts.js";
import type { FirstTokenModel } from "../../decisions/placement/firstTokenModel.js";
import { countMissingTokens } from "../../decisions/placement/promptPlacement.js";
import { EngineShares } from "../../decisions/shares/engineShares.js";
import { isSpareCapacityFilled, type GrantSettings } from "./spareCapacity.js";
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
    readonly settings?: GrantSettings;
}

/** Maximum number of engines with state in memory; several times what one router of a large fleet owns. */
const maxEngines = 4_096;
/** Retry delay of a denial for a leaving target; covers several message rounds between routers. Milliseconds. */
const leavingDenialMs = 4_000;
/** Fraction of a prompt's shared tokens that an engine may have to prefill for a request that uses the allowance. */
const maxMissingFraction = 0.25;
/** Minimum retry delay where the allowance rises; about two message rounds between routers. Milliseconds. */
const minDenialMs = 20;
/** Engines without a request for this long are left out of the metrics; another router may own them by now. Milliseconds. */
const recentRequestMs = 2_000;

/** How much of the engines' limits is granted. */
export interface SpareCapacity {
    readonly engines: number;
    /** Mean addition to the fraction of the limit for requests beyond their account's share. */
    readonly allowance: number;
    /** Mean granted fraction of the limit. */
    readonly limitUsage: number;
}

/** State of one engine. */
interface EngineState {
    readonly budget: EngineBudget;
    readonly shares: EngineShares;
    readonly allowance: SpareAllowance;
    readonly memory: EngineMemory;
    /** Window of the newest request; milliseconds. */
    windowMs: number;
    requestedAtMs: number;
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
        const engine = this.findEngine(request.targetHash);
        const { budget, shares, allowance, memory } = engine;
        const memoryTokens = this.findMemoryTokens(target);
        target.heldMemory = memoryTokens === undefined ? undefined : this.createHeldMemory(memory);
        const newTokens = countNewTokens(target, request);
        const demand = createMemoryDemand(senderId, request);
        engine.windowMs = request.windowMs;
        engine.requestedAtMs = nowMs;
        const fraction = this.computeFraction(target, request, rate, nowMs);
        const { maxUsage, isFilled } = fraction;
        const prefill = {
            id: formatGrantKey(senderId, request),
            tokens: newTokens,
            maxQueuedTokens: request.maxWaitMs * rate.tokensPerMs,
            maxUsage: fraction.usesAllowance ? addAllowance(maxUsage, allowance.current) : maxUsage,
            isPreferred: isFilled && isBelowLevelUsage(maxUsage),
            memoryWaitMs: memoryTokens === undefined ? 0 : memory.computeWaitMs(demand, memoryTokens, nowMs),
            windowMs: request.windowMs,
        };
        shares.recordRequested(request.accountHash, request.chargedTokens, nowMs);
        const decision = budget.check(prefill, rate, nowMs);
        if (request.isUnconditional) {
            budget.record(prefill, rate, nowMs);
        }
        if (decision.granted || request.isUnconditional) {
            shares.recordGranted(request.accountHash, request.chargedTokens, nowMs);
            recordParts(target, request, newTokens);
            if (memoryTokens !== undefined) {
                memory.record(demand, nowMs);
            }
        }
        const { granted, queuedTokens, usage } = decision;
        const retryAfterMs =
            isFilled && !request.isUnconditional
                ? applyDenial(allowance, decision, fraction, nowMs)
                : decision.retryAfterMs;
        const reply = { granted, newTokens, queuedTokens, usage, maxUsage, retryAfterMs };
        return { kind: "reply", grantId: request.grantId, isTargetKnown: true, ...reply };
    }

    /** Means over the engines that this router was recently asked for; undefined without any. */
    public computeSpareCapacity(): SpareCapacity | undefined {
        const nowMs = this.options.clock.nowMs();
        const sums = { engines: 0, allowance: 0, limitUsage: 0 };
        for (const [targetHash, { budget, allowance, windowMs, requestedAtMs }] of this.engines.entries()) {
            const target = this.options.directory.findByHash(targetHash);
            if (target !== undefined && nowMs - requestedAtMs < recentRequestMs) {
                sums.engines += 1;
                sums.allowance += allowance.current;
                sums.limitUsage += budget.computeLimitUsage(this.createRate(target), windowMs, nowMs);
            }
        }
        const { engines, allowance, limitUsage } = sums;
        return engines === 0
            ? undefined
            : { engines, allowance: allowance / engines, limitUsage: limitUsage / engines };
    }

    private isFilled(target: Target): boolean {
        const { settings = {}, directory } = this.options;
        return isSpareCapacityFilled(settings, directory, target.entry.service);
    }

    /** Applies a progress report. `senderId`: id of the router that holds the grant. */
    public applyReport(senderId: string, report: GrantReport): void {
        const { budget, memory } = this.findEngine(report.targetHash);
        const key = formatGrantKey(senderId, report);
        if (report.progress === "started") {
            budget.recordStart(key);
        } else {
            const hasRun = report.progress === "ended";
            budget.recordEnd(key, hasRun);
            memory.recordEnd(key, hasRun, this.options.clock.nowMs());
        }
    }

    /** Fraction of the limit that the request may use: that in the request, or less if the engine has already served its account much. */
    private computeFraction(target: Target, request: GrantRequest, rate: EngineRate, nowMs: number): UsableFraction {
        const { targetHash, accountHash, chargedTokens, windowMs } = request;
        const { shares, budget, allowance } = this.findEngine(targetHash);
        const isFilled = this.isFilled(target);
        if (isFilled) {
            allowance.update(budget.computeLimitUsage(rate, windowMs, nowMs), windowMs, nowMs);
        }
        const surplus = shares.computeSurplus(accountHash, chargedTokens, nowMs);
        const engineUsage = computeMaxEngineUsage(surplus, isFilled ? minSentUsage : undefined);
        return {
            maxUsage: Math.min(request.maxUsage, engineUsage),
            isFilled,
            usesAllowance: isFilled && isMostlyCached(target, request),
        };
    }

    /** Size of the engine's memory; undefined if it is not stated, or not limited. */
    private findMemoryTokens({ entry }: Target): number | undefined {
        const { settings, directory } = this.options;
        const cacheTokens = directory.findService(entry.service)?.engine?.cacheTokens ?? 0;
        return settings?.limitsEngineMemory === true && cacheTokens > 0 ? cacheTokens : undefined;
    }

    /** Requests expire also after another router has become the owner and no report arrives any more. */
    private createHeldMemory(memory: EngineMemory): HeldMemory {
        const { clock } = this.options;
        return {
            get heldTokens() {
                return memory.countHeld(clock.nowMs());
            },
            get ownTokens() {
                return memory.countOwn(clock.nowMs());
            },
            hasPart: partId => memory.hasPart(partId, clock.nowMs()),
        };
    }

    private findEngine(targetHash: number): EngineState {
        let engine = this.engines.get(targetHash);
        if (engine === undefined) {
            engine = {
                budget: new EngineBudget(),
                shares: new EngineShares(),
                allowance: new SpareAllowance(),
                memory: new EngineMemory(),
                windowMs: 1,
                requestedAtMs: Number.NEGATIVE_INFINITY,
            };
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

/** How much of an engine's limit a request may use. */
interface UsableFraction {
    /** Fraction of the limit without the engine's allowance. */
    readonly maxUsage: number;
    /** Whether accounts beyond their share may use idle engines of the service. */
    readonly isFilled: boolean;
    /** Whether the allowance is added for this request. */
    readonly usesAllowance: boolean;
}

/**
 * Records a denial in the engine's allowance. Returns the time after which an equal request could be granted: the allowance may rise before
 * grants leave the window, and a router that kept the denial for longer would not ask for what is free. Milliseconds.
 */
function applyDenial(
    allowance: SpareAllowance,
    decision: PrefillDecision,
    { maxUsage, usesAllowance }: UsableFraction,
    nowMs: number,
): number {
    const { granted, retryAfterMs, limitUsage, missingUsage } = decision;
    if (granted) {
        return 0;
    }
    if (isWithinShareUsage(maxUsage)) {
        allowance.recordDenial("within-share", nowMs);
        return retryAfterMs;
    }
    if (missingUsage === 0) {
        return retryAfterMs;
    }
    if (isBelowLevelUsage(maxUsage)) {
        allowance.recordDenial("below-level", nowMs);
        return retryAfterMs;
    }
    if (!usesAllowance) {
        return retryAfterMs;
    }
    allowance.recordDenial("over-share", nowMs);
    const riseMs = Math.max(minDenialMs, allowance.estimateRiseMs(missingUsage, limitUsage));
    return Math.min(retryAfterMs, riseMs);
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

function createMemoryDemand(senderId: string, request: GrantRequest): MemoryDemand {
    const { sharedParts, ownTokens, outputTokens } = request;
    return { id: formatGrantKey(senderId, request), sharedParts, ownTokens: ownTokens + outputTokens };
}

/** Prompt tokens that the engine has to prefill: those not cached there by earlier requests and not copied from another engine. */
function countNewTokens(target: Target, { sharedParts, ownTokens, copiedTokens }: GrantRequest): number {
    return ownTokens + Math.max(0, countMissingTokens(target, sharedParts) - copiedTokens);
}

/**
 * Whether the engine has cached most of the prompt's shared parts. Spare capacity is for such requests only: prompts of accounts beyond their
 * share would otherwise evict parts that others use, and shared parts would be prefilled several times.
 */
function isMostlyCached(target: Target, { sharedParts }: GrantRequest): boolean {
    const sharedTokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0);
    return countMissingTokens(target, sharedParts) <= sharedTokens * maxMissingFraction;
}

/** Records as cached what the engine is about to prefill. Peers' messages report it only a round later. */
function recordParts(target: Target, { sharedParts, outputTokens }: GrantRequest, newTokens: number): void {
    sharedParts.forEach(part => target.recordPart(part.id, part.tokens));
    target.recordPeerWrittenTokens(newTokens + outputTokens);
}

function formatGrantKey(senderId: string, { incarnation, grantId }: { incarnation: number; grantId: number }): string {
    return `${senderId} ${incarnation} ${grantId}`;
}
