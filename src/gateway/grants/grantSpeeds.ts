import { LRUCache } from "lru-cache";
import type { Clock } from "../../base/clock.js";
import type { EngineSpeed, SpeedEstimate } from "../../decisions/placement/engineSpeed.js";
import type { FirstTokenModel } from "../../decisions/placement/firstTokenModel.js";
import type { LazyMap } from "../lazyMap.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { GrantReply, GrantReport, GrantRequest } from "./grantMessage.js";

/** Dependencies of {@link GrantSpeeds}. */
export interface GrantSpeedsOptions {
    readonly directory: TargetDirectory;
    readonly clock: Clock;
    readonly firstTokenModels: LazyMap<FirstTokenModel>;
}

/** A granted request whose first event has not been reported yet. */
interface AwaitedStart {
    readonly grantedAtMs: number;
    readonly speed: EngineSpeed;
    readonly estimate: SpeedEstimate;
    /** Tokens that the engine had to prefill, including those queued before the request. */
    readonly tokensAhead: number;
}

/** Maximum number of grants whose start is awaited; several times what one router's engines run concurrently. */
const maxAwaited = 8_192;
/** Maximum number of routers whose message format is remembered; more than in any fleet. */
const maxRouters = 4_096;

/**
 * Estimates of engines' speeds at their owner, from the other routers' messages. A router sends only a part of an engine's requests, and the
 * owner would need several times as long to learn the engine's speed from its own.
 */
export class GrantSpeeds {
    private readonly awaited = new LRUCache<string, AwaitedStart>({ max: maxAwaited });
    /** Incarnations of routers that have sent a report with a slowdown, and so decode a reply with a speed factor. */
    private readonly decodingIncarnations = new LRUCache<string, number>({ max: maxRouters });

    public constructor(private readonly options: GrantSpeedsOptions) {}

    /** Records the decision on a request, and adds the engine's speed to the reply if the sender decodes it. */
    public addSpeed(senderId: string, request: GrantRequest, reply: GrantReply): GrantReply {
        const { directory, clock } = this.options;
        const target = directory.findByHash(request.targetHash);
        if (target === undefined) {
            return reply;
        }
        const { speed, entry } = target;
        const nowMs = clock.nowMs();
        const estimate = speed.estimate(nowMs);
        // How long a copy takes is known only to the sender.
        if (reply.granted && request.copiedTokens === 0 && directory.hasSpeedReports(entry.service)) {
            const tokensAhead = reply.queuedTokens + reply.newTokens;
            this.awaited.set(formatKey(senderId, request), { grantedAtMs: nowMs, speed, estimate, tokensAhead });
        }
        const isDecoded = this.decodingIncarnations.get(senderId) === request.incarnation;
        return isDecoded && speed.isKnown ? { ...reply, speedFactor: estimate.factor } : reply;
    }

    /** Records a progress report of another router. */
    public applyReport(senderId: string, report: GrantReport): void {
        const { directory, clock, firstTokenModels } = this.options;
        const target = directory.findByHash(report.targetHash);
        const nowMs = clock.nowMs();
        if (report.slowdown !== undefined) {
            this.decodingIncarnations.set(senderId, report.incarnation);
            target?.speed.observeReport(report.slowdown, nowMs);
        }
        const key = formatKey(senderId, report);
        const awaited = this.awaited.get(key);
        this.awaited.delete(key);
        if (target !== undefined && awaited !== undefined && report.progress === "started") {
            const { grantedAtMs, speed, estimate, tokensAhead } = awaited;
            const { fixedMs, tokensPerMs } = firstTokenModels.getOrCreate(target.entry.service);
            const sample = { tookMs: nowMs - grantedAtMs, fixedMs, prefillMs: tokensAhead / tokensPerMs };
            speed.observeFirstOutput(sample, estimate, nowMs);
        }
    }
}

function formatKey(senderId: string, { incarnation, grantId }: { incarnation: number; grantId: number }): string {
    return `${senderId} ${incarnation} ${grantId}`;
}
