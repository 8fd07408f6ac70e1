import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { LogFields, Logger } from "../base/log.js";
import { SlidingCount } from "../decisions/structures/slidingCount.js";
import type { RouterResponseReason } from "./routerResponse.js";
import type { EndedRequest } from "./gatewayService.js";

const spanMs = 1_000;
/**
 * Lines a second for requests that were served and for all others. Those that were not
 * served are what callers complain of; of the others a sample shows how things usually go.
 */
const mostServedLines = 40;
const mostOtherLines = 200;
/** The same for requests that a router sheds: all that is written of them is work that it is too slow for. */
const mostShedLines = 10;
const shedReason: RouterResponseReason = "busy";

/** Writes one line for each request that ended, up to a rate; what is left out is counted and logged. */
export class RequestLog implements Disposable {
    private readonly served = new SlidingCount(spanMs);
    private readonly shed = new SlidingCount(spanMs);
    private readonly others = new SlidingCount(spanMs);
    private leftOut = 0;
    private timer: NodeJS.Timeout | undefined;

    public constructor(
        private readonly logger: Logger,
        private readonly clock: Clock,
    ) {}

    public write(ended: EndedRequest): void {
        const nowMs = this.clock.nowMs();
        const [lines, most] = this.findLimit(ended);
        if (lines.count(nowMs) >= most) {
            this.leftOut += 1;
            this.timer ??= setTimeout(() => this.writeLeftOut(), spanMs);
            return;
        }
        lines.add(nowMs);
        this.logger.write("info", "request ended", createFields(ended));
    }

    public dispose(): void {
        clearTimeout(this.timer);
        if (this.leftOut > 0) {
            this.writeLeftOut();
        }
    }

    private findLimit({ end }: EndedRequest): readonly [SlidingCount, number] {
        if (end.outcome === "answered") {
            return [this.served, mostServedLines];
        }
        return end.reason === shedReason ? [this.shed, mostShedLines] : [this.others, mostOtherLines];
    }

    private writeLeftOut(): void {
        this.timer = undefined;
        this.logger.write("info", "request lines were left out", { count: this.leftOut });
        this.leftOut = 0;
    }
}

function createFields({
    requestId,
    route,
    account,
    configurationVersion,
    handedOverBy,
    tookMs,
    end,
}: EndedRequest): LogFields {
    return {
        requestId,
        route,
        account,
        configurationVersion,
        handedOverBy,
        tookMs: toWhole(tookMs),
        outcome: end.outcome,
        reason: end.reason,
        status: end.status,
        attempts: end.attempts,
        service: end.service,
        target: end.target,
        version: end.version,
        expectedMs: toWhole(end.expectedMs),
        tokensAhead: end.tokensAhead,
        newTokens: end.newTokens,
        fetchedTokens: end.fetchedTokens,
        engineUse: toRatio(end.engineUse),
        recordRemovedForMs: toWhole(end.recordRemovedForMs),
        readingShare: toRatio(end.readingShare),
        objectiveMs: end.objectiveMs,
        firstOutputMs: toWhole(end.firstOutputMs),
        pauseObjectiveMs: end.pauseObjectiveMs,
        longestPauseMs: toWhole(end.longestPauseMs),
        timeliness: end.timeliness,
        askedTokens: toWhole(end.askedTokens),
        servedTokens: toWhole(end.servedTokens),
        shareUse: toRatio(end.shareUse?.share),
        surplusUse: toRatio(end.shareUse?.surplus),
        sumsAgeMs: toWhole(end.shareUse?.sumsAgeMs),
        ownersAsked: end.ownersAsked,
        ownersSilent: end.ownersSilent,
        decidedBy: end.decidedBy,
        decisionMs: toWhole(end.decisionMs),
        tried: end.tried?.join(" "),
    };
}

function toRatio(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Number(value.toFixed(2));
}

function toWhole(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Math.round(value);
}
