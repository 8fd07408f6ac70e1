import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { LogFields, Logger } from "../base/log.js";
import type { PlacementCost } from "../decisions/placement/promptPlacement.js";
import { SlidingCount } from "../decisions/structures/slidingCount.js";
import type { RouterResponseReason } from "./routerResponse.js";
import type { EndedRequest } from "./gatewayService.js";

const windowMs = 1_000;
/**
 * Maximum log lines per second for served requests and for all others. Callers' complaints concern those that were not
 * served, so more of their lines are kept; a sample is enough for served ones.
 */
const maxServedLines = 40;
const maxOtherLines = 200;
/** Maximum log lines per second for shed requests: a router that sheds is overloaded, and each line adds to its load. */
const maxShedLines = 10;
const shedReasons: ReadonlySet<string> = new Set<RouterResponseReason>(["busy", "returned"]);

/** Writes one log line for each request that ended, up to a maximum rate; counts the skipped lines and logs their number. */
export class RequestLog implements Disposable {
    private readonly served = new SlidingCount(windowMs);
    private readonly shed = new SlidingCount(windowMs);
    private readonly others = new SlidingCount(windowMs);
    private skippedLines = 0;
    private timer: NodeJS.Timeout | undefined;

    public constructor(
        private readonly logger: Logger,
        private readonly clock: Clock,
    ) {}

    public write(ended: EndedRequest): void {
        const nowMs = this.clock.nowMs();
        const [lines, maxLines] = this.findLimit(ended);
        if (lines.count(nowMs) >= maxLines) {
            this.skippedLines += 1;
            this.timer ??= setTimeout(() => this.writeSkippedLines(), windowMs);
            return;
        }
        lines.add(nowMs);
        this.logger.write("info", "request ended", createFields(ended));
    }

    public dispose(): void {
        clearTimeout(this.timer);
        if (this.skippedLines > 0) {
            this.writeSkippedLines();
        }
    }

    private findLimit({ end }: EndedRequest): readonly [SlidingCount, number] {
        if (end.outcome === "answered") {
            return [this.served, maxServedLines];
        }
        return shedReasons.has(end.reason) ? [this.shed, maxShedLines] : [this.others, maxOtherLines];
    }

    private writeSkippedLines(): void {
        this.timer = undefined;
        this.logger.write("info", "request log lines skipped", { count: this.skippedLines });
        this.skippedLines = 0;
    }
}

function createFields({
    requestId,
    route,
    account,
    configurationVersion,
    endConfigurationVersion,
    handedOverBy,
    tookMs,
    end,
}: EndedRequest): LogFields {
    const isAnswered = end.outcome === "answered";
    return {
        requestId,
        route,
        account,
        configurationVersion,
        endConfigurationVersion: isAnswered ? undefined : endConfigurationVersion,
        handedOverBy,
        tookMs: toRounded(tookMs),
        outcome: end.outcome,
        reason: end.reason,
        status: end.status,
        attempts: end.attempts,
        service: end.service,
        target: end.target,
        version: end.version,
        expectedMs: toRounded(end.expectedMs),
        tokensAhead: end.tokensAhead,
        newTokens: end.newTokens,
        fetchedTokens: end.fetchedTokens,
        engineUse: toRatio(end.engineUse),
        slowdown: toRatio(end.slowdown),
        speedFactor: toRatio(end.speedFactor),
        savedMs: toRounded(end.savedMs),
        waitMs: toRounded(end.waitMs),
        ...createCostFields(end.cost),
        interDataCentreBytes: end.interDataCentreBytes,
        recordRemovedForMs: toRounded(end.recordRemovedForMs),
        readingShare: toRatio(end.readingShare),
        objectiveMs: end.objectiveMs,
        firstOutputMs: toRounded(end.firstOutputMs),
        pauseObjectiveMs: end.pauseObjectiveMs,
        longestPauseMs: toRounded(end.longestPauseMs),
        timeliness: end.timeliness,
        silentMs: isAnswered ? undefined : toRounded(end.silentMs),
        timerDelayMs: toRounded(end.timerDelayMs),
        moveObstacle: end.moveObstacle,
        askedTokens: toRounded(end.askedTokens),
        servedTokens: toRounded(end.servedTokens),
        shareUse: toRatio(end.shareUse?.share),
        surplusUse: toRatio(end.shareUse?.surplus),
        sumsAgeMs: toRounded(end.shareUse?.sumsAgeMs),
        ownersAsked: end.ownersAsked,
        ownersSilent: end.ownersSilent,
        decidedBy: end.decidedBy,
        decisionMs: toRounded(end.decisionMs),
        tried: end.tried?.join(" "),
        resumes: end.resumedRequestId,
        resumedAfterId: end.resumedAfterId,
        originSource: end.originSource,
        streamVersion: end.streamVersion,
        eventVersions: end.eventVersions?.join(" "),
    };
}

/** The terms that are not zero; `savedMs` is logged for every request with a target. */
function createCostFields(cost: Partial<PlacementCost> = {}): LogFields {
    const rounded = Object.entries(cost).map(([name, ms]) => [name, Math.round(ms)] as const);
    return Object.fromEntries(rounded.filter(([name, ms]) => name !== "savedMs" && ms !== 0));
}

function toRatio(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Number(value.toFixed(2));
}

function toRounded(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Math.round(value);
}
