import { LRUCache } from "lru-cache";
import type { Clock } from "../../base/clock.js";
import { EngineBudget, type EngineRate } from "../../decisions/admission/engineBudget.js";
import type { ReadingShare } from "../../decisions/admission/readingShare.js";
import type { FirstTokenModel } from "../../decisions/placement/firstTokenModel.js";
import { countMissingTokens } from "../../decisions/placement/promptPlacement.js";
import type { Registry } from "../registry.js";
import type { Target } from "../target.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { GrantReply, GrantReport, GrantRequest } from "./grantMessage.js";

/** What a {@link GrantOwner} needs. */
export interface GrantOwnerOptions {
    readonly directory: TargetDirectory;
    readonly clock: Clock;
    /** Per service. */
    readonly firstTokenModels: Registry<FirstTokenModel>;
    /** Per service. */
    readonly readingShares: Registry<ReadingShare>;
}

/** Engines whose books are kept; several times those that one router of a large fleet owns. */
const mostBudgets = 4_096;

/** Decides on sends to the engines that this router owns, for all routers. */
export class GrantOwner {
    private readonly budgets = new LRUCache<number, EngineBudget>({ max: mostBudgets });

    public constructor(private readonly options: GrantOwnerOptions) {}

    /** `senderId`: the asking router. */
    public check(senderId: string, request: GrantRequest): GrantReply {
        const target = this.options.directory.findByHash(request.targetHash);
        if (target === undefined) {
            return createUnknownReply(request);
        }
        const nowMs = this.options.clock.nowMs();
        const rate = this.createRate(target);
        const newTokens = countNewTokens(target, request);
        const reading = {
            id: formatGrantKey(senderId, request),
            tokens: newTokens,
            mostAheadTokens: request.mostWaitMs * rate.tokensPerMs,
            mostUse: request.mostUse,
            spanMs: request.spanMs,
        };
        const budget = this.findBudget(request.targetHash);
        const decision = budget.check(reading, rate, nowMs);
        if (request.isBinding) {
            budget.record(reading, rate, nowMs);
        }
        if (decision.granted || request.isBinding) {
            recordParts(target, request, newTokens);
        }
        return { kind: "reply", grantId: request.grantId, isKnown: true, newTokens, ...decision };
    }

    public applyReport(senderId: string, report: GrantReport): void {
        const budget = this.findBudget(report.targetHash);
        const key = formatGrantKey(senderId, report);
        if (report.progress === "started") {
            budget.recordStart(key);
        } else {
            budget.recordEnd(key, report.progress === "ended");
        }
    }

    private findBudget(targetHash: number): EngineBudget {
        let budget = this.budgets.get(targetHash);
        if (budget === undefined) {
            budget = new EngineBudget();
            this.budgets.set(targetHash, budget);
        }
        return budget;
    }

    private createRate({ entry }: Target): EngineRate {
        const { firstTokenModels, readingShares } = this.options;
        return {
            tokensPerMs: firstTokenModels.find(entry.service).readingTokensPerMs,
            slots: entry.slots,
            readingShare: readingShares.find(entry.service).current,
        };
    }
}

function createUnknownReply({ grantId }: GrantRequest): GrantReply {
    const nothing = { newTokens: 0, aheadTokens: 0, use: 0, retryAfterMs: 0 };
    return { kind: "reply", grantId, isKnown: false, granted: false, ...nothing };
}

/** Tokens that the engine has to read, by what was granted there before. */
function countNewTokens(target: Target, { sharedParts, ownTokens, copiedTokens }: GrantRequest): number {
    return ownTokens + Math.max(0, countMissingTokens(target, sharedParts) - copiedTokens);
}

/** The engine keeps what it is about to read; other routers' messages tell it to this one a round later. */
function recordParts(target: Target, { sharedParts, outputTokens }: GrantRequest, newTokens: number): void {
    sharedParts.forEach(part => target.recordPart(part.id, part.tokens));
    target.recordPeerWritten(newTokens + outputTokens);
}

function formatGrantKey(senderId: string, { incarnation, grantId }: { incarnation: number; grantId: number }): string {
    return `${senderId} ${incarnation} ${grantId}`;
}
