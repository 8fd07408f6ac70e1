import { choosePlacement } from "../decisions/placement/placement.js";
import { computeColdShare } from "../decisions/limits/coldLimit.js";
import { pickCandidates } from "../decisions/placement/candidateSample.js";
import {
    choosePromptPlacement,
    findPreferredTarget,
    type CacheTransfer,
    type PromptFetch,
} from "../decisions/placement/promptPlacement.js";
import type { EngineCapacity, RouteConfiguration, ServiceConfiguration } from "./configuration.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Grant } from "./grants/grantClient.js";
import type { Target } from "./target.js";
import type { RequestHead } from "./wire.js";

/** Where a request may go now, and what to expect there. */
export interface Selection {
    readonly target: Target;
    readonly service: ServiceConfiguration;
    /** Cached tokens that the target copies from another one first. */
    readonly fetch: PromptFetch<Target> | undefined;
    /** Prompt tokens that the target has to read for this request. */
    readonly newTokens: number;
    /** The same with all that waits there before it. */
    readonly tokensAhead: number;
    /** Time to the first event, or of the wait before a plain request starts; milliseconds. */
    readonly expectedMs: number;
    /** The same at a target with nothing to do. */
    readonly unloadedMs: number;
    /** What the target's owner granted; undefined for plain services, and where no owner answered. */
    readonly grant: Grant | undefined;
}

/** Why a request has no target. */
export interface NoTargetExplanation {
    readonly reason: "no-target" | "targets-pausing";
    readonly retryAfterMs: number;
}

/** Whether a target is left out of a selection. */
export type TargetFilter = (target: Target) => boolean;

/** When to come back if nothing can take a request now; about the time in which views of a change meet. */
const noTargetRetryMs = 300;
/** Other targets may start before the end of a longer pause. */
const mostPauseRetryMs = 30_000;
/** A full target of a plain service lets this many slots' worth of requests wait before others are better refused. */
const plainTargetWindowFactor = 1;
/** Share of a target's connections that routers use; the rest covers closes that are under way and uneven routers. */
const connectionShare = 0.8;
/** Until a copy between engines is under way: a round trip between them and its bookkeeping; milliseconds. */
const transferSetupMs = 3;

/** Chooses the target of a request. */
export class TargetSelector {
    public constructor(private readonly context: GatewayContext) {}

    /** The service that a request goes to first, and those of the route that could take its place. */
    public orderServices(route: RouteConfiguration): readonly string[] {
        const open = route.destinations.filter(destination => destination.weight > 0);
        const total = open.reduce((sum, destination) => sum + destination.weight, 0);
        let point = this.context.random.next() * total;
        const first = open.find(destination => (point -= destination.weight) < 0) ?? open[0];
        return first === undefined
            ? []
            : [first.service, ...open.filter(other => other !== first).map(other => other.service)];
    }

    /**
     * The best target of the first service that has one; undefined: none can take a request now. `mostUse`: part of an engine's
     * limit that the request may use.
     */
    public select(
        services: readonly string[],
        head: RequestHead,
        hasPrompts: boolean,
        isLeftOut: TargetFilter,
        mostUse = 1,
    ): Selection | undefined {
        for (const name of services) {
            const service = this.context.directory.findService(name);
            const candidates = service === undefined ? [] : this.listCandidates(service, isLeftOut);
            if (service !== undefined && candidates.length > 0) {
                const isModel = hasPrompts && service.engine !== undefined;
                return isModel
                    ? this.selectForPrompt(service, candidates, head, mostUse)
                    : this.selectPlain(service, candidates);
            }
        }
        return undefined;
    }

    /**
     * Whether a target that was selected may still get the request. While an owner is asked, other requests are sent: a cold target
     * would get more than its rate and crash, a paused one more than its probe, one that leaves a request after its time.
     */
    public canSend({ target, service }: Pick<Selection, "target" | "service">): boolean {
        const { directory, clock } = this.context;
        return directory.isOpen(target) && this.canStart(target, service, clock.nowMs());
    }

    /** Why none of the services has a target for a request, and when to come back. */
    public explainNoTarget(services: readonly string[]): NoTargetExplanation {
        const { directory, random } = this.context;
        const pauses = services.map(name => directory.computePauseMs(name)).filter(ms => ms !== undefined);
        if (pauses.length === 0) {
            return { reason: "no-target", retryAfterMs: noTargetRetryMs };
        }
        // Callers that were refused together must not all come at the first moment.
        const spreadMs = noTargetRetryMs * random.next();
        return { reason: "targets-pausing", retryAfterMs: Math.min(mostPauseRetryMs, ...pauses) + spreadMs };
    }

    /** Connections that this router may hold to one target of the service. */
    public computeConnectionLimit(service: ServiceConfiguration): number {
        const routers = this.context.peers.routers.routerIds.length;
        return Math.max(1, Math.floor((service.maxConnections * connectionShare) / Math.max(1, routers)));
    }

    private listCandidates(service: ServiceConfiguration, isLeftOut: TargetFilter): readonly Target[] {
        const nowMs = this.context.clock.nowMs();
        return this.context.directory
            .listOpen(service.name)
            .filter(target => !isLeftOut(target) && this.canStart(target, service, nowMs));
    }

    private canStart(target: Target, service: ServiceConfiguration, nowMs: number): boolean {
        return (
            target.circuit.canStart(nowMs) && (target.coldUntilMs <= nowMs || this.canSendCold(target, service, nowMs))
        );
    }

    private canSendCold(target: Target, service: ServiceConfiguration, nowMs: number): boolean {
        const rate = { requestsPerSecond: service.coldRequestsPerSecond, ...this.context.settings.coldLimit };
        if (rate.requestsPerSecond === 0) {
            return true;
        }
        return target.cold.hasCapacity(nowMs, computeColdShare(target.id, rate, this.context.peers.routers));
    }

    private selectForPrompt(
        service: ServiceConfiguration,
        candidates: readonly Target[],
        head: RequestHead,
        mostUse: number,
    ): Selection | undefined {
        const model = this.context.firstTokenModels.getOrCreate(service.name);
        const request = {
            parts: head.promptParts,
            promptTokens: head.promptTokens,
            dataCentre: this.context.settings.dataCentre,
            tokensPerMs: model.tokensPerMs,
            transfer: createTransfer(service.engine),
        };
        const nowMs = this.context.clock.nowMs();
        const shared = head.promptParts.slice(0, -1);
        const home = findPreferredTarget(candidates, shared[shared.length - 1]?.id);
        const compared = pickCandidates(candidates, home, shared, this.context.random);
        compared.forEach(target => target.updateWaitingTokens(model.tokensPerMs, mostUse, nowMs));
        const idle = compared.reduce((count, target) => count + (target.waitingTokens === 0 ? 1 : 0), 0);
        this.context.idleShares.getOrCreate(service.name).observe(idle, compared.length, nowMs);
        const placement = choosePromptPlacement(compared, request, this.listSources(service), home);
        if (placement === undefined) {
            return undefined;
        }
        const fetchMs = placement.fetch?.ms ?? 0;
        return {
            target: placement.candidate,
            service,
            fetch: placement.fetch,
            newTokens: placement.newTokens,
            tokensAhead: placement.tokensAhead,
            expectedMs: fetchMs + model.estimateMs(placement.tokensAhead),
            unloadedMs: fetchMs + model.estimateMs(placement.newTokens),
            grant: undefined,
        };
    }

    /** Engines that others may copy from; one that fails or is about to go would make the request wait for nothing. */
    private listSources(service: ServiceConfiguration): readonly Target[] {
        const nowMs = this.context.clock.nowMs();
        const { directory, rollouts } = this.context;
        return directory
            .listOpen(service.name)
            .filter(target => target.circuit.canStart(nowMs) && rollouts.isTrusted(target));
    }

    private selectPlain(service: ServiceConfiguration, candidates: readonly Target[]): Selection | undefined {
        const { random, settings } = this.context;
        const views = candidates.map(target => ({
            target,
            agentId: target.id,
            nameHash: target.idHash,
            dataCentre: target.dataCentre,
            window: target.slots * plainTargetWindowFactor,
            load: target.running,
            ownWaiting: 0,
            serviceTimeMs: target.serviceTimeMs,
            hasCachedPrefix: false,
        }));
        const request = { affinityHash: undefined, promptTokens: 0, dataCentre: settings.dataCentre };
        const chosen = choosePlacement(views, request, random);
        if (chosen === undefined) {
            return undefined;
        }
        const ahead = Math.max(0, chosen.load - chosen.window + 1);
        const expectedMs = (ahead * chosen.serviceTimeMs) / Math.max(1, chosen.window);
        return {
            target: chosen.target,
            service,
            fetch: undefined,
            newTokens: 0,
            tokensAhead: 0,
            expectedMs,
            unloadedMs: 0,
            grant: undefined,
        };
    }
}

function createTransfer(engine: EngineCapacity | undefined): CacheTransfer | undefined {
    return engine?.transferBytesPerMs === undefined || engine.bytesPerToken === undefined
        ? undefined
        : { setupMs: transferSetupMs, msPerToken: engine.bytesPerToken / engine.transferBytesPerMs };
}
