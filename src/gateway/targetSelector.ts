import { choosePlacement, type PlacementCandidate } from "../decisions/placement/placement.js";
import { computeColdShare } from "../decisions/limits/coldLimit.js";
import { computePromptBounds } from "../decisions/admission/promptAdmission.js";
import { pickCandidates } from "../decisions/placement/candidateSample.js";
import { findLocalPreferredTarget, type LocalRequest } from "../decisions/placement/localEngines.js";
import {
    choosePromptPlacement,
    findPreferredTarget,
    type CacheTransfer,
    type PlacementCost,
    type PromptFetch,
    type PromptRequest,
    type PromptCandidate,
} from "../decisions/placement/promptPlacement.js";
import { zeroUsage } from "../decisions/shares/accountShares.js";
import type { EngineCapacity, RouteConfiguration, ServiceConfiguration } from "./configuration.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Grant } from "./grants/grantClient.js";
import type { Target } from "./target.js";
import type { RequestHead } from "./wire.js";

/** A target that can receive a request now, with the expected queue and times. */
export interface Selection {
    readonly target: Target;
    readonly service: ServiceConfiguration;
    /** Cached tokens that the target first copies from another engine. */
    readonly fetch: PromptFetch<Target> | undefined;
    /** Prompt tokens of this request that the target has to prefill. */
    readonly newTokens: number;
    /** Prompt tokens that the target has to prefill, including those queued before this request. */
    readonly tokensAhead: number;
    /** Expected time to the first event, or before a plain request starts; milliseconds. */
    readonly expectedMs: number;
    /** Expected time at a target without other load; milliseconds. */
    readonly unloadedMs: number;
    /** Estimated time per unit of work at the target relative to the usual one; 1 while no target of the service reports its own. */
    readonly speedFactor: number;
    /** What spoke for and against the target; undefined for plain services. */
    readonly cost: PlacementCost | undefined;
    /** Bytes of the body that are sent to another data centre; undefined if the target is in the router's own. */
    readonly interDataCentreBytes: number | undefined;
    /** Grant of the target's owner; undefined for plain services and if the owner did not reply. */
    readonly grant: Grant | undefined;
}

/** Why a request has no target. */
export interface NoTargetExplanation {
    readonly reason: "no-target" | "targets-pausing";
    readonly retryAfterMs: number;
}

/** Returns whether a target is excluded from a selection. */
export type TargetFilter = (target: Target) => boolean;

/** Retry time if no target can receive a request; about the time in which all routers have received a change of the fleet. */
const noTargetRetryMs = 300;
/** Maximum retry time if targets pause: other targets may start before the end of a longer pause. */
const maxPauseRetryMs = 30_000;
/** Requests per slot that a target of a plain service takes without an expected wait; beyond it requests wait or are better refused. */
const plainRequestsPerSlot = 1;
/** Share of a target's connections that routers use; the remainder covers closes in progress and uneven load of routers. */
const maxConnectionShare = 0.8;
const bytesPerKb = 1_024;
/** Time to set up a copy between engines: one network round trip and the processing at both ends; milliseconds. */
const transferSetupMs = 3;

/** What a selection depends on. */
export type SelectorContext = Pick<
    GatewayContext,
    "settings" | "clock" | "random" | "directory" | "peers" | "rollouts" | "firstTokenModels" | "idleShares"
>;

/** What the selection of an engine depends on besides the prompt. */
export interface SelectedRequest {
    /** Size of the request's body. */
    readonly bodyBytes: number;
    /** Objective for the time to the first event; milliseconds. */
    readonly objectiveMs: number;
}

/** Chooses the target of a request. */
export class TargetSelector {
    public constructor(
        private readonly context: SelectorContext,
        private readonly request: SelectedRequest = { bodyBytes: 0, objectiveMs: Number.POSITIVE_INFINITY },
    ) {}

    /** Draws the service of the first attempt by weight; the other open services of the route follow as alternatives. */
    public orderServices(route: RouteConfiguration): readonly string[] {
        const openDestinations = route.destinations.filter(destination => destination.weight > 0);
        const totalWeight = openDestinations.reduce((sum, destination) => sum + destination.weight, 0);
        let point = this.context.random.next() * totalWeight;
        const first = openDestinations.find(destination => (point -= destination.weight) < 0) ?? openDestinations[0];
        return first === undefined
            ? []
            : [first.service, ...openDestinations.filter(other => other !== first).map(other => other.service)];
    }

    /**
     * Selects the best target of the first service with an available target; undefined if there is none. `maxUsage`: share of an
     * engine's limit that the request may use.
     */
    public select(
        services: readonly string[],
        head: RequestHead,
        hasPrompts: boolean,
        isExcluded: TargetFilter,
        maxUsage = 1,
    ): Selection | undefined {
        for (const name of services) {
            const service = this.context.directory.findService(name);
            const candidates = service === undefined ? [] : this.listCandidates(service, isExcluded);
            if (service !== undefined && candidates.length > 0) {
                const isModel = hasPrompts && service.engine !== undefined;
                return isModel
                    ? this.selectForPrompt(service, candidates, head, maxUsage)
                    : this.selectPlain(service, candidates);
            }
        }
        return undefined;
    }

    /**
     * Whether the request may still be sent to the selected target. Other requests are sent while an owner is asked: without this check
     * a cold target would exceed its rate and crash, a paused one get more than its probe, and a leaving one a request after its end.
     */
    public canSend({ target, service }: Pick<Selection, "target" | "service">): boolean {
        const { directory, clock } = this.context;
        return directory.isOpen(target) && this.canStart(target, service, clock.nowMs());
    }

    /** Explains why none of the services has a target for a request, and when to retry. */
    public explainNoTarget(services: readonly string[]): NoTargetExplanation {
        const { directory, random } = this.context;
        const pauses = services.map(name => directory.computePauseMs(name)).filter(ms => ms !== undefined);
        if (pauses.length === 0) {
            return { reason: "no-target", retryAfterMs: noTargetRetryMs };
        }
        // Random spread, so that callers that were refused at the same time don't retry at the same time.
        const spreadMs = noTargetRetryMs * random.next();
        return { reason: "targets-pausing", retryAfterMs: Math.min(maxPauseRetryMs, ...pauses) + spreadMs };
    }

    /** Maximum number of connections of this router to one target of the service. */
    public computeConnectionLimit(service: ServiceConfiguration): number {
        const routers = this.context.peers.routers.routerIds.length;
        return Math.max(1, Math.floor((service.maxConnections * maxConnectionShare) / Math.max(1, routers)));
    }

    private listCandidates(service: ServiceConfiguration, isExcluded: TargetFilter): readonly Target[] {
        const nowMs = this.context.clock.nowMs();
        return this.context.directory
            .listOpen(service.name)
            .filter(target => !isExcluded(target) && this.canStart(target, service, nowMs));
    }

    private canStart(target: Target, service: ServiceConfiguration, nowMs: number): boolean {
        return this.findStartObstacle(target, service, nowMs) === undefined;
    }

    /** Why no request may be sent to an open target now; undefined if it may. */
    public findStartObstacle(
        target: Target,
        service: ServiceConfiguration,
        nowMs: number,
    ): "circuit-open" | "cold" | undefined {
        if (!target.circuit.canStart(nowMs)) {
            return "circuit-open";
        }
        return target.coldUntilMs <= nowMs || this.canSendCold(target, service, nowMs) ? undefined : "cold";
    }

    private canSendCold(target: Target, service: ServiceConfiguration, nowMs: number): boolean {
        const rate = { requestsPerSecond: service.coldRequestsPerSecond, ...this.context.settings.coldLimit };
        if (rate.requestsPerSecond === 0) {
            return true;
        }
        return target.cold.hasCapacity(nowMs, computeColdShare(target.id, rate, this.context.peers.routers));
    }

    /** The request as placement sees it. */
    public createPromptRequest(
        { name, engine }: ServiceConfiguration,
        { promptParts, promptTokens }: Pick<RequestHead, "promptParts" | "promptTokens">,
        { bodyBytes, objectiveMs } = this.request,
    ): PromptRequest {
        const { firstTokenModels, settings } = this.context;
        const { dataCentre, interDataCentreMsPerKb } = settings;
        const model = firstTokenModels.getOrCreate(name);
        return {
            parts: promptParts,
            promptTokens,
            dataCentre,
            tokensPerMs: model.tokensPerMs,
            transfer: createTransfer(engine),
            ...(settings.limitsEngineMemory && engine !== undefined && { memoryTokens: engine.cacheTokens }),
            ...(interDataCentreMsPerKb !== undefined && {
                interDataCentreMs: (interDataCentreMsPerKb * bodyBytes) / bytesPerKb,
                maxLocalQueueMs: computeMaxQueueMs(objectiveMs, model.estimateMs(promptTokens)),
            }),
        };
    }

    /** The target that first prefills a part that no engine has cached. */
    public findPreferred<T extends PromptCandidate>(
        candidates: readonly T[],
        partId: string | undefined,
        request: PromptRequest,
    ): T | undefined {
        const local = createLocalRequest(request);
        return local === undefined
            ? findPreferredTarget(candidates, partId)
            : findLocalPreferredTarget(candidates, partId, local);
    }

    private selectForPrompt(
        service: ServiceConfiguration,
        candidates: readonly Target[],
        head: RequestHead,
        maxUsage: number,
    ): Selection | undefined {
        const model = this.context.firstTokenModels.getOrCreate(service.name);
        const request = this.createPromptRequest(service, head);
        const nowMs = this.context.clock.nowMs();
        const shared = head.promptParts.slice(0, -1);
        const local = createLocalRequest(request);
        candidates.forEach(target => {
            target.updateSpeed(nowMs);
            if (target.dataCentre === local?.dataCentre) {
                target.updateWaitingTokens(model.tokensPerMs, maxUsage, nowMs);
            }
        });
        const preferred = this.findPreferred(candidates, shared[shared.length - 1]?.id, request);
        const compared = pickCandidates(candidates, preferred, shared, this.context.random, local);
        compared.forEach(target => {
            target.updateWaitingTokens(model.tokensPerMs, maxUsage, nowMs);
        });
        const idle = compared.reduce((count, target) => count + (target.waitingTokens === 0 ? 1 : 0), 0);
        this.context.idleShares.getOrCreate(service.name).observe(idle, compared.length, nowMs);
        const placement = choosePromptPlacement(compared, request, this.listSources(service), preferred);
        if (placement === undefined) {
            return undefined;
        }
        const fetchMs = placement.fetch?.ms ?? 0;
        const { speedFactor } = placement.candidate;
        return {
            target: placement.candidate,
            service,
            fetch: placement.fetch,
            newTokens: placement.newTokens,
            tokensAhead: placement.tokensAhead,
            expectedMs: fetchMs + model.estimateMs(placement.tokensAhead, speedFactor),
            unloadedMs: fetchMs + model.estimateMs(placement.newTokens, speedFactor),
            speedFactor,
            cost: placement.cost,
            interDataCentreBytes: this.countInterDataCentreBytes(placement.candidate),
            grant: undefined,
        };
    }

    /** Engines from which others may copy cached tokens; one that fails or is about to stop would only delay the request. */
    public listSources(service: ServiceConfiguration): readonly Target[] {
        const nowMs = this.context.clock.nowMs();
        const { directory, rollouts } = this.context;
        return directory
            .listOpen(service.name)
            .filter(target => target.circuit.canStart(nowMs) && rollouts.isTrusted(target));
    }

    private countInterDataCentreBytes({ dataCentre }: Target): number | undefined {
        return dataCentre === this.context.settings.dataCentre ? undefined : this.request.bodyBytes;
    }

    private selectPlain(service: ServiceConfiguration, candidates: readonly Target[]): Selection | undefined {
        const { random, settings, clock } = this.context;
        const nowMs = clock.nowMs();
        const views = candidates.map(target => describePlainTarget(target, nowMs));
        const request = { affinityHash: undefined, promptTokens: 0, dataCentre: settings.dataCentre };
        const chosen = choosePlacement(views, request, random);
        if (chosen === undefined) {
            return undefined;
        }
        return {
            target: chosen.target,
            service,
            fetch: undefined,
            newTokens: 0,
            tokensAhead: 0,
            expectedMs: estimatePlainWaitMs(chosen),
            unloadedMs: 0,
            speedFactor: chosen.target.speed.estimate(nowMs).reportRatio,
            cost: undefined,
            interDataCentreBytes: this.countInterDataCentreBytes(chosen.target),
            grant: undefined,
        };
    }
}

/** A target of a plain service as placement sees it. */
export function describePlainTarget(target: Target, nowMs: number): PlacementCandidate & { readonly target: Target } {
    return {
        target,
        agentId: target.id,
        nameHash: target.idHash,
        dataCentre: target.dataCentre,
        window: target.slots * plainRequestsPerSlot,
        load: target.running,
        ownWaiting: 0,
        serviceTimeMs: target.serviceTimeMs * target.speed.estimate(nowMs).reportRatio,
        hasCachedPrefix: false,
    };
}

/** Expected time before one more request starts at a target of a plain service; milliseconds. */
export function estimatePlainWaitMs({ load, window, serviceTimeMs }: PlacementCandidate): number {
    const queuedBefore = Math.max(0, load - window + 1);
    return (queuedBefore * serviceTimeMs) / Math.max(1, window);
}

/** The request's data centre and the queue of engines with free capacity; undefined where the data centre makes no difference. */
function createLocalRequest({ dataCentre, tokensPerMs, maxLocalQueueMs }: PromptRequest): LocalRequest | undefined {
    return maxLocalQueueMs === undefined ? undefined : { dataCentre, tokensPerMs, maxQueueMs: maxLocalQueueMs };
}

/** The longest wait with which a request within its account's share is admitted; milliseconds. */
function computeMaxQueueMs(objectiveMs: number, unloadedMs: number): number {
    const times = { objectiveMs, remainingMs: objectiveMs, pauseObjectiveMs: objectiveMs };
    return computePromptBounds({ ...times, unloadedMs, shareUse: zeroUsage }).maxWaitMs;
}

function createTransfer(engine: EngineCapacity | undefined): CacheTransfer | undefined {
    return engine?.transferBytesPerMs === undefined || engine.bytesPerToken === undefined
        ? undefined
        : { setupMs: transferSetupMs, msPerToken: engine.bytesPerToken / engine.transferBytesPerMs };
}
