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

/** What a {@link GrantOwner} needs. */
export interface GrantOwnerOptions {
    readonly directory: TargetDirectory;
    readonly clock: Clock;
    /** Per service. */
    readonly firstTokenModels: LazyMap<FirstTokenModel>;
    /** Per service. */
    readonly prefillShares: LazyMap<PrefillShare>;
}

/** Engines whose books are kept; several times those that one router of a large fleet owns. */
const mostBooks = 4_096;
/** Several rounds of messages between routers. */
const leavingDenialMs = 4_000;

/** What is kept of one engine. */
interface EngineBooks {
    readonly budget: EngineBudget;
    readonly shares: EngineShares;
}

/** Decides on sends to the engines that this router owns, for all routers. */
export class GrantOwner {
    private readonly books = new LRUCache<number, EngineBooks>({ max: mostBooks });

    public constructor(private readonly options: GrantOwnerOptions) {}

    /** `senderId`: the asking router. */
    public check(senderId: string, request: GrantRequest): GrantReply {
        const target = this.options.directory.findByHash(request.targetHash);
        if (target === undefined) {
            return createUnknownReply(request);
        }
        // The asking router has not learnt it yet, and would send by its own beliefs to a target that is about to end.
        if (target.availability.leaving !== undefined && !request.isUnconditional) {
            return createLeavingReply(request);
        }
        const nowMs = this.options.clock.nowMs();
        const rate = this.createRate(target);
        const newTokens = countNewTokens(target, request);
        const reading = {
            id: formatGrantKey(senderId, request),
            tokens: newTokens,
            maxQueuedTokens: request.maxWaitMs * rate.tokensPerMs,
            maxUsage: this.computeMostUse(request, nowMs),
            windowMs: request.windowMs,
        };
        const { budget, shares } = this.findBooks(request.targetHash);
        shares.recordRequested(request.accountHash, request.chargedTokens, nowMs);
        const decision = budget.check(reading, rate, nowMs);
        if (request.isUnconditional) {
            budget.record(reading, rate, nowMs);
        }
        if (decision.granted || request.isUnconditional) {
            shares.recordGranted(request.accountHash, request.chargedTokens, nowMs);
            recordParts(target, request, newTokens);
        }
        const { maxUsage: mostUse } = reading;
        return { kind: "reply", grantId: request.grantId, isKnown: true, newTokens, maxUsage: mostUse, ...decision };
    }

    public applyReport(senderId: string, report: GrantReport): void {
        const { budget } = this.findBooks(report.targetHash);
        const key = formatGrantKey(senderId, report);
        if (report.progress === "started") {
            budget.recordStart(key);
        } else {
            budget.recordEnd(key, report.progress === "ended");
        }
    }

    /** The part of the limit that the asking router named, or less where the account has had much at this engine. */
    private computeMostUse(
        { targetHash, accountHash, chargedTokens, maxUsage: mostUse }: GrantRequest,
        nowMs: number,
    ): number {
        const surplus = this.findBooks(targetHash).shares.computeSurplus(accountHash, chargedTokens, nowMs);
        return Math.min(mostUse, computeMaxEngineUsage(surplus));
    }

    private findBooks(targetHash: number): EngineBooks {
        let books = this.books.get(targetHash);
        if (books === undefined) {
            books = { budget: new EngineBudget(), shares: new EngineShares() };
            this.books.set(targetHash, books);
        }
        return books;
    }

    private createRate({ entry }: Target): EngineRate {
        const { firstTokenModels, prefillShares: readingShares } = this.options;
        return {
            tokensPerMs: firstTokenModels.getOrCreate(entry.service).prefillTokensPerMs,
            slots: entry.slots,
            readingShare: readingShares.getOrCreate(entry.service).current,
        };
    }
}

/** A denial that holds until the asking router has learnt from its peers that the target is leaving. */
function createLeavingReply({ grantId, maxUsage: maxUsage }: GrantRequest): GrantReply {
    const full = { newTokens: 0, queuedTokens: 0, usage: 1, maxUsage: maxUsage, retryAfterMs: leavingDenialMs };
    return { kind: "reply", grantId, isKnown: true, granted: false, ...full };
}

function createUnknownReply({ grantId }: GrantRequest): GrantReply {
    const nothing = { newTokens: 0, queuedTokens: 0, usage: 0, maxUsage: 0, retryAfterMs: 0 };
    return { kind: "reply", grantId, isKnown: false, granted: false, ...nothing };
}

/** Tokens that the engine has to read, by what was granted there before. */
function countNewTokens(target: Target, { sharedParts, ownTokens, copiedTokens }: GrantRequest): number {
    return ownTokens + Math.max(0, countMissingTokens(target, sharedParts) - copiedTokens);
}

/** The engine keeps what it is about to read; other routers report it a round later. */
function recordParts(target: Target, { sharedParts, outputTokens }: GrantRequest, newTokens: number): void {
    sharedParts.forEach(part => target.recordPart(part.id, part.tokens));
    target.recordPeerWrittenTokens(newTokens + outputTokens);
}

function formatGrantKey(senderId: string, { incarnation, grantId }: { incarnation: number; grantId: number }): string {
    return `${senderId} ${incarnation} ${grantId}`;
}
