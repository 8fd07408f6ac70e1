import {
    checkPromptAdmission,
    computeMaxUsage,
    computePromptBounds,
    computePromptRetryAfterMs,
    type PromptBounds,
} from "../../decisions/admission/promptAdmission.js";
import { computePlacementTerms, listEligible } from "../../decisions/placement/placement.js";
import {
    comparePlacements,
    computeTotalCost,
    type PromptCandidate,
} from "../../decisions/placement/promptPlacement.js";
import { zeroUsage, type ShareUsage } from "../../decisions/shares/accountShares.js";
import { computeChargedTokens } from "../accountCharge.js";
import { computeShareUsage } from "../computeShareUsage.js";
import type { RouteConfiguration, ServiceConfiguration } from "../configuration.js";
import type { ActiveConfiguration } from "../configurationHolder.js";
import type { GatewayContext } from "../gatewayContext.js";
import { maxPlainWaitShare } from "../requestAdmission.js";
import type { Target } from "../target.js";
import { describePlainTarget, estimatePlainWaitMs, TargetSelector } from "../targetSelector.js";
import type { RequestHead } from "../wire.js";
import type {
    ExcludedTarget,
    ExplainedCandidate,
    ExplainedDecision,
    PlacementAnswer,
    PlacementExplanation,
    PlacementQuestion,
} from "./placementExplanation.js";

type Head = Pick<RequestHead, "promptTokens" | "maxOutputTokens" | "promptParts">;
type ExplainedService = PlacementExplanation["services"][number];

/** A request to explain, with what is known of its route and account. */
interface Subject {
    readonly route: RouteConfiguration;
    readonly account: string | undefined;
    readonly head: Head;
    readonly shareUse: ShareUsage;
    readonly maxUsage: number;
}

interface Choice {
    readonly service: ServiceConfiguration;
    readonly target: Target;
    readonly tokensAhead: number;
    readonly expectedMs: number;
    readonly unloadedMs: number;
}

/** A target with its queue as projected for the request. */
interface PromptView extends PromptCandidate {
    readonly target: Target;
}

/**
 * Explains where a request would be placed now and whether it would be admitted, by the decisions that requests go through. Changes no
 * state that requests depend on: no counters, samples or grants, and no numbers drawn from the router's random generator.
 */
export class PlacementExplainer {
    /** Draws nothing, so that the decisions of requests stay as they would be. */
    private readonly selector: TargetSelector;

    /** `getTargetsViewAgeMs`: age of the last read that covers all targets' records; undefined before the first. */
    public constructor(
        private readonly context: GatewayContext,
        private readonly getTargetsViewAgeMs: () => number | undefined,
    ) {
        const { clock, directory, firstTokenModels, peers, rollouts } = context;
        const random = { next: () => 0 };
        this.selector = new TargetSelector({
            get settings() {
                return context.settings;
            },
            clock,
            directory,
            firstTokenModels,
            idleShares: context.idleShares,
            peers,
            random,
            rollouts,
        });
    }

    public explain(question: PlacementQuestion): PlacementAnswer {
        const configuration = this.context.configuration.current;
        if (configuration === undefined) {
            return { kind: "no-configuration" };
        }
        const { routes, accounts } = configuration.source;
        const route = routes.find(({ name }) => name === question.route);
        if (route === undefined) {
            return { kind: "unknown-route", known: routes.map(({ name }) => name) };
        }
        if (question.account !== undefined && !accounts.some(({ name }) => name === question.account)) {
            return { kind: "unknown-account" };
        }
        const { parts, maxOutputTokens } = question;
        const promptTokens = question.promptTokens ?? parts.reduce((sum, part) => sum + part.tokens, 0);
        // Requests on public routes count for no account.
        const account = route.isPublic ? undefined : question.account;
        const shareUse = route.hasPrompts ? computeShareUsage(this.context, account) : zeroUsage;
        const subject = {
            route,
            account,
            head: { promptTokens, maxOutputTokens, promptParts: parts },
            shareUse,
            maxUsage: computeMaxUsage(shareUse),
        };
        return { kind: "explained", explanation: this.explainSubject(subject, configuration) };
    }

    private explainSubject(subject: Subject, { version }: ActiveConfiguration): PlacementExplanation {
        const { context } = this;
        const { route, account, head, shareUse, maxUsage } = subject;
        const open = route.destinations.filter(({ weight }) => weight > 0).sort((a, b) => b.weight - a.weight);
        const totalWeight = open.reduce((sum, { weight }) => sum + weight, 0);
        const services = open.map(({ service, weight }) => this.explainService(subject, service, weight / totalWeight));
        const choice = this.findChoice(services);
        const bounds = choice === undefined || choice.tokensAhead === 0 ? undefined : computeBounds(subject, choice);
        return {
            router: context.settings.daemonId,
            dataCentre: context.settings.dataCentre,
            configurationVersion: version,
            targetsViewAgeMs: this.getTargetsViewAgeMs(),
            peers: context.peers.routers.routerIds.length - 1,
            route: route.name,
            objectiveMs: route.objectiveMs,
            account,
            promptTokens: head.promptTokens,
            expectedOutputTokens: context.outputLengths.getOrCreate(route.name).estimate(head.maxOutputTokens),
            chargedTokens: computeChargedTokens(context, { head, route }),
            share: { ...shareUse, maxUsage },
            services,
            chosen: choice && {
                service: choice.service.name,
                target: choice.target.id,
                expectedMs: choice.expectedMs,
                unloadedMs: choice.unloadedMs,
            },
            bounds,
            decision: this.explainDecision(subject, choice, bounds),
        };
    }

    private explainService(subject: Subject, name: string, probability: number): ExplainedService {
        const { directory, clock, rollouts } = this.context;
        const service = directory.findService(name);
        const nowMs = clock.nowMs();
        // Without a service nothing is drawn or counted: the versions of a request that is not chosen for a version that is rolled out.
        const versions = rollouts.open(undefined, subject.route.name);
        const excluded: ExcludedTarget[] = [];
        const available: Target[] = [];
        for (const target of directory.listAll().filter(({ entry }) => entry.service === name)) {
            const reason =
                directory.findClosedReason(target, nowMs) ??
                (versions.isAllowed(target) ? undefined : "version") ??
                (service && this.selector.findStartObstacle(target, service, nowMs));
            if (reason === undefined) {
                available.push(target);
            } else {
                excluded.push({ target: target.id, reason });
            }
        }
        if (service === undefined) {
            return { service: name, probability, candidates: [], excluded };
        }
        const isModel = subject.route.hasPrompts && service.engine !== undefined;
        const { candidates, full } = isModel
            ? { candidates: this.explainPrompt(subject, service, available), full: [] }
            : this.explainPlain(available);
        candidates.sort((a, b) => a.costMs - b.costMs);
        return { service: name, probability, candidates, excluded: [...excluded, ...full] };
    }

    private explainPrompt(
        { head, maxUsage, route }: Subject,
        service: ServiceConfiguration,
        available: readonly Target[],
    ): ExplainedCandidate[] {
        const { selector } = this;
        const nowMs = this.context.clock.nowMs();
        const request = selector.createPromptRequest(service, head, {
            bodyBytes: 0,
            objectiveMs: route.objectiveMs,
        });
        const shared = head.promptParts.slice(0, -1);
        const createView = (target: Target): PromptView => ({
            target,
            id: target.id,
            idHash: target.idHash,
            dataCentre: target.dataCentre,
            // The target's own figure is updated by requests, for the account of the last one.
            waitingTokens: target.computeWaitingTokens(request.tokensPerMs, maxUsage, nowMs),
            running: target.running,
            slots: target.slots,
            heldTokens: target.heldTokens,
            speedFactor: target.speed.estimate(nowMs).factor,
            hasPart: id => target.hasPart(id),
        });
        const views = available.map(createView);
        const preferred = selector.findPreferred(views, shared.at(-1)?.id, request);
        const sources = selector.listSources(service).map(createView);
        const placements = comparePlacements(views, request, sources, preferred);
        return placements.map(({ candidate, fetch, newTokens, cost }) => {
            const { target, waitingTokens, running, slots } = candidate;
            const hasFirstPart = shared.length > 0 && target.hasPart(shared[0].id);
            return {
                ...describeTarget(target),
                costMs: computeTotalCost(cost),
                terms: { ...cost },
                newTokens,
                queuedTokens: waitingTokens,
                running,
                slots,
                copy: fetch && { from: fetch.from.id, tokens: fetch.tokens, ms: fetch.ms },
                isAlwaysCompared: hasFirstPart || candidate === preferred,
            };
        });
    }

    private explainPlain(available: readonly Target[]): {
        readonly candidates: ExplainedCandidate[];
        readonly full: readonly ExcludedTarget[];
    } {
        const nowMs = this.context.clock.nowMs();
        const views = available.map(target => describePlainTarget(target, nowMs));
        const eligible = new Set(listEligible(views));
        const candidates = [...eligible].map(view => {
            const terms = computePlacementTerms(view, this.context.settings.dataCentre);
            return {
                ...describeTarget(view.target),
                costMs: terms.wait + terms.batch + terms.distance,
                terms,
                newTokens: 0,
                queuedTokens: 0,
                running: view.load,
                slots: view.target.slots,
                isAlwaysCompared: true,
            };
        });
        const full = views
            .filter(view => !eligible.has(view))
            .map(({ target }) => ({ target: target.id, reason: "full-while-others-have-capacity" as const }));
        return { candidates, full };
    }

    /** The candidate of least cost of the first service that has one. */
    private findChoice(services: readonly ExplainedService[]): Choice | undefined {
        const { directory, firstTokenModels } = this.context;
        const first = services.find(({ candidates }) => candidates.length > 0);
        const best = first?.candidates[0];
        const target = best && directory.find(best.target);
        const service = first && directory.findService(first.service);
        if (best === undefined || target === undefined || service === undefined) {
            return undefined;
        }
        const tokensAhead = best.queuedTokens + best.newTokens;
        if (tokensAhead === 0) {
            const expectedMs = estimatePlainWaitMs(describePlainTarget(target, this.context.clock.nowMs()));
            return { service, target, tokensAhead, expectedMs, unloadedMs: 0 };
        }
        const model = firstTokenModels.getOrCreate(service.name);
        const copyMs = best.copy?.ms ?? 0;
        return {
            service,
            target,
            tokensAhead,
            expectedMs: copyMs + model.estimateMs(tokensAhead),
            unloadedMs: copyMs + model.estimateMs(best.newTokens),
        };
    }

    private explainDecision(
        subject: Subject,
        choice: Choice | undefined,
        bounds: PromptBounds | undefined,
    ): ExplainedDecision {
        const { route } = subject;
        if (choice === undefined) {
            const names = route.destinations.filter(({ weight }) => weight > 0).map(({ service }) => service);
            return { decidedBy: "none", ...this.selector.explainNoTarget(names) };
        }
        if (bounds === undefined) {
            const maxWaitMs = route.objectiveMs * maxPlainWaitShare;
            const isAdmitted = choice.expectedMs <= maxWaitMs;
            const retryAfterMs = isAdmitted ? undefined : choice.expectedMs;
            return { decidedBy: "wait", isAdmitted, maxWaitMs, retryAfterMs };
        }
        const deniedMs = this.computeDeniedMs(subject, choice, bounds);
        if (deniedMs > 0) {
            const retryAfterMs = computePromptRetryAfterMs(bounds.reason, route.objectiveMs, deniedMs);
            return { decidedBy: "memory", reason: bounds.reason, deniedMs, retryAfterMs };
        }
        const { grants, idleShares } = this.context;
        const admission = checkPromptAdmission({
            expectedMs: choice.expectedMs,
            idleShare: idleShares.getOrCreate(choice.service.name).current,
            ...createAdmissionView(subject, choice),
        });
        const withoutReply = admission.admitted
            ? { isAdmitted: true }
            : { isAdmitted: false, reason: admission.reason, retryAfterMs: admission.retryAfterMs };
        return { decidedBy: "owner", owner: grants.findOwner(choice.target), withoutReply };
    }

    /** How long the target's owner, or recently asked owners of other targets, deny such requests; milliseconds. */
    private computeDeniedMs(
        { account }: Subject,
        { target, service }: Choice,
        { maxUsage, reason }: PromptBounds,
    ): number {
        const { clock, denials } = this.context;
        const nowMs = clock.nowMs();
        const deniedMs = target.computeDeniedMs(maxUsage, nowMs);
        return reason !== "over-share" || account === undefined
            ? deniedMs
            : Math.max(deniedMs, denials.getOrCreate(service.name).computeDeniedMs(account, maxUsage, nowMs));
    }
}

function computeBounds(subject: Subject, choice: Choice): PromptBounds {
    return computePromptBounds(createAdmissionView(subject, choice));
}

/** The request as it would be if it arrived now with the route's whole timeout left. */
function createAdmissionView(
    { route, shareUse }: Subject,
    { unloadedMs }: Choice,
): Parameters<typeof computePromptBounds>[0] {
    const { objectiveMs, pauseObjectiveMs, timeoutMs } = route;
    return { unloadedMs, objectiveMs, pauseObjectiveMs, remainingMs: timeoutMs, shareUse };
}

function describeTarget({
    id,
    entry,
    dataCentre,
}: Target): Pick<ExplainedCandidate, "target" | "version" | "dataCentre"> {
    return { target: id, version: entry.version, dataCentre };
}
