import {
    checkPromptAdmission,
    computeMaxUsage,
    computePromptBounds,
    computePromptRetryAfterMs,
    computeSpreadRetryMs,
    isBeyondDeadline,
    type PromptBounds,
} from "../decisions/admission/promptAdmission.js";
import { minSentUsage } from "../decisions/admission/spareAllowance.js";
import { zeroUsage, type ShareUsage } from "../decisions/shares/accountShares.js";
import type { AdmissionDetails, AdmissionOutcome, DecisionSource } from "./admissionOutcome.js";
import { computeShareUsage } from "./computeShareUsage.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Grant, GrantDemand, GrantOutcome } from "./grants/grantClient.js";
import { submitGuarded } from "./grants/submitGuarded.js";
import type { GrantReply } from "./grants/grantMessage.js";
import { isSpareCapacityFilled } from "./grants/spareCapacity.js";
import type { RouterResponseReason } from "./routerResponse.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { Target } from "./target.js";
import type { Selection, TargetFilter, TargetSelector } from "./targetSelector.js";

/** Share of the objective that a plain request may spend waiting at its target. */
export const maxPlainWaitShare = 0.6;
/**
 * The work that a begun stream has received is lost if the stream is refused, so that it may wait longer than a new one and is not refused
 * for its account's share, which was charged when it began.
 */
const continuedObjectiveFactor = 2;
/** Maximum number of owners asked for one request: after three denials a further one is unlikely to be worth its cost. */
const maxGrantRequests = 3;
/**
 * A granted request is sent to another target if its expected time is below this fraction of that at the granted one. Estimates differ from
 * the times by about a third, so that a smaller difference isn't worth a further message.
 */
const fasterTargetFraction = 0.7;

interface GrantedSelection extends Selection {
    readonly grant: Grant;
}

/** Options of a {@link RequestAdmission}. */
export interface RequestAdmissionOptions {
    readonly context: GatewayContext;
    readonly routed: RoutedRequest;
    readonly selector: TargetSelector;
    /** Number of tokens that the request is expected to generate. */
    readonly outputTokens: number;
    /** Tokens charged to the account's share for this request. */
    readonly chargedTokens: number;
    /** Whether the request continues a stream that a router has begun to serve. */
    readonly isContinued: boolean;
    /** Excludes targets from the selection. */
    readonly isExcluded: TargetFilter;
    readonly getRemainingMs: () => number;
}

/** Decides whether a request is admitted and selects the target of its first attempt; asks the owners of model engines for grants. */
export class RequestAdmission {
    private grantRequests = 0;
    private unresponsiveOwners = 0;
    /** Shortest time until an engine that denied the request has capacity again; milliseconds. */
    private capacityWaitMs = Number.POSITIVE_INFINITY;
    /** Maximum share of an engine's limit that the asked owners allow the request to use; it depends on the account. */
    private maxUsage = Number.POSITIVE_INFINITY;
    private shareUse = zeroUsage;
    /** First service of the request. */
    private service: string | undefined;
    private decidedBy: DecisionSource = "none";
    private handleError: (error: unknown) => void = error => {
        throw error;
    };

    public constructor(private readonly options: RequestAdmissionOptions) {}

    /** Objective that the expected time is compared with; milliseconds. */
    private get objectiveMs(): number {
        const { routed, isContinued } = this.options;
        return routed.route.objectiveMs * (isContinued ? continuedObjectiveFactor : 1);
    }

    /**
     * Calls `handleOutcome` exactly once, either synchronously or after the owners' replies; or `handleError` if a reply can't be processed,
     * as the exception would otherwise reach the source of the reply, and the request would wait forever.
     */
    public check(
        services: readonly string[],
        handleOutcome: (outcome: AdmissionOutcome) => void,
        handleError = this.handleError,
    ): void {
        this.handleError = handleError;
        this.service = services[0];
        this.shareUse = this.computeUsage();
        const selection = this.select(services, computeMaxUsage(this.shareUse, this.minUsage));
        if (selection === undefined) {
            const { reason, retryAfterMs } = this.options.selector.explainNoTarget(services);
            handleOutcome(this.createRefusal(reason, retryAfterMs));
        } else if (selection.tokensAhead === 0) {
            handleOutcome(this.checkPlain(selection));
        } else {
            this.checkPrompt(services, selection, handleOutcome);
        }
    }

    private checkPlain(selection: Selection): AdmissionOutcome {
        const isLate = selection.expectedMs > this.objectiveMs * maxPlainWaitShare;
        return isLate ? this.createRefusal("late", selection.expectedMs) : this.createSelected(selection);
    }

    /**
     * Asks the owner of the selected target, and after a denial that of the next one. A target whose owner denies requests may still be
     * the best choice: to prefill or copy shared parts at another target may cost more than to retry when it has capacity.
     */
    private checkPrompt(
        services: readonly string[],
        selection: Selection,
        handleOutcome: (outcome: AdmissionOutcome) => void,
    ): void {
        const { context, routed } = this.options;
        const { clock } = context;
        const { target } = selection;
        const bounds = this.computeBounds(selection);
        const deniedMs = this.computeDeniedMs(selection, bounds);
        if (deniedMs > 0 || this.grantRequests >= maxGrantRequests) {
            this.recordDenial(selection, bounds);
            this.recordDecision(this.grantRequests > 0 ? "owner" : "memory");
            handleOutcome(this.createDenial(bounds.reason, deniedMs));
            return;
        }
        if (this.isFilled && this.isBeyondDeadline(selection)) {
            this.recordDecision(this.grantRequests > 0 ? "owner" : "beliefs");
            const retryAfterMs = computeSpreadRetryMs(this.objectiveMs, context.random.next());
            handleOutcome(this.createRefusal("late", retryAfterMs));
            return;
        }
        this.grantRequests += 1;
        routed.figures.record("asked-owner");
        // The owner counts the parts of a granted prompt as cached, which would be wrong of parts that are then sent to another target.
        const hadParts = routed.head.promptParts.slice(0, -1).every(part => target.hasPart(part.id));
        this.submit(selection, bounds, outcome => {
            if (outcome.kind === "unanswered") {
                this.unresponsiveOwners += 1;
                routed.figures.record("owner-silent");
                this.recordDecision("beliefs");
                handleOutcome(this.checkByEstimates(selection));
                return;
            }
            target.applyGrantReply(outcome.reply, clock.nowMs());
            this.maxUsage = Math.min(this.maxUsage, outcome.reply.maxUsage);
            this.capacityWaitMs = Math.min(this.capacityWaitMs, outcome.reply.retryAfterMs);
            if (outcome.kind === "granted") {
                routed.figures.record("granted");
                this.recordDecision("owner");
                const granted = { ...this.applyReply(selection, outcome.reply), grant: outcome.grant };
                const faster = hadParts ? this.selectFaster(services, granted) : undefined;
                if (faster === undefined) {
                    handleOutcome(this.createSelected(granted));
                } else {
                    this.checkFaster(granted, faster, handleOutcome);
                }
            } else {
                this.checkPrompt(services, this.select(services, this.maxUsage) ?? selection, handleOutcome);
            }
        });
    }

    private submit(selection: Selection, bounds: PromptBounds, handleGrant: (outcome: GrantOutcome) => void): void {
        const { grants } = this.options.context;
        submitGuarded(grants, this.createDemand(selection, bounds), handleGrant, this.handleError);
    }

    private isBeyondDeadline({ expectedMs, unloadedMs }: Selection): boolean {
        return isBeyondDeadline({ expectedMs, unloadedMs, remainingMs: this.options.getRemainingMs() });
    }

    /** How long the target's owner, or recently asked owners of other targets, deny such requests; milliseconds, 0 if they don't. */
    private computeDeniedMs({ target, service }: Selection, { maxUsage, reason }: PromptBounds): number {
        const { context, routed } = this.options;
        const nowMs = context.clock.nowMs();
        const deniedMs = target.computeDeniedMs(maxUsage, nowMs);
        if (reason !== "over-share" || routed.account === undefined || this.grantRequests > 0) {
            return deniedMs;
        }
        const denials = context.denials.getOrCreate(service.name);
        return Math.max(deniedMs, denials.computeDeniedMs(routed.account, maxUsage, nowMs));
    }

    private recordDenial({ service }: Selection, { maxUsage, reason }: PromptBounds): void {
        const { context, routed } = this.options;
        if (reason === "over-share" && routed.account !== undefined && this.grantRequests > 0) {
            const denials = context.denials.getOrCreate(service.name);
            const requester = {
                utilization: context.load.loop.utilization,
                accountFraction: context.shares.computeOwnFraction(routed.account),
                routerCount: context.peers.routers.routerIds.length,
            };
            denials.record(routed.account, maxUsage, this.capacityWaitMs, requester, context.clock.nowMs());
        }
    }

    private recordDecision(source: Exclude<DecisionSource, "none">): void {
        this.decidedBy = source;
        this.options.routed.figures.record(`decided-by-${source}`);
    }

    /**
     * Selects a target that is expected to respond much sooner than the granted one, whose owner has replied with a longer queue or a slower
     * speed than this router assumed. Only for services whose engines report their speeds.
     */
    private selectFaster(services: readonly string[], granted: Selection): Selection | undefined {
        const { context, routed, selector, isExcluded } = this.options;
        if (!context.directory.hasSpeedReports(granted.service.name) || this.grantRequests >= maxGrantRequests) {
            return undefined;
        }
        const isExcludedOrGranted = (target: Target): boolean => target === granted.target || isExcluded(target);
        const { head, route } = routed;
        const other = selector.select(services, head, route.hasPrompts, isExcludedOrGranted, this.maxUsage);
        return other !== undefined && other.expectedMs < granted.expectedMs * fasterTargetFraction ? other : undefined;
    }

    /** Asks the owner of a target that may be faster than the granted one, and uses the one that is expected to respond sooner. */
    private checkFaster(
        granted: GrantedSelection,
        faster: Selection,
        handleOutcome: (outcome: AdmissionOutcome) => void,
    ): void {
        const { context, routed } = this.options;
        this.grantRequests += 1;
        routed.figures.record("asked-owner");
        this.submit(faster, this.computeBounds(faster), outcome => {
            if (outcome.kind === "unanswered") {
                this.unresponsiveOwners += 1;
            } else {
                faster.target.applyGrantReply(outcome.reply, context.clock.nowMs());
            }
            if (outcome.kind !== "granted") {
                handleOutcome(this.createSelected(granted));
                return;
            }
            const other = { ...this.applyReply(faster, outcome.reply), grant: outcome.grant };
            const [used, unused] = other.expectedMs < granted.expectedMs ? [other, granted] : [granted, other];
            unused.grant.report("not-run");
            handleOutcome(this.createSelected(used));
        });
    }

    private select(services: readonly string[], maxUsage: number): Selection | undefined {
        const { routed, selector, isExcluded } = this.options;
        return selector.select(services, routed.head, routed.route.hasPrompts, isExcluded, maxUsage);
    }

    /** Decides by this router's own estimates of the target, as its owner did not reply. */
    private checkByEstimates(selection: Selection): AdmissionOutcome {
        const { context, routed, getRemainingMs } = this.options;
        const admission = checkPromptAdmission({
            expectedMs: selection.expectedMs,
            unloadedMs: selection.unloadedMs,
            objectiveMs: this.objectiveMs,
            pauseObjectiveMs: routed.route.pauseObjectiveMs,
            remainingMs: getRemainingMs(),
            shareUse: this.shareUse,
            idleShare: context.idleShares.getOrCreate(selection.service.name).current,
        });
        return admission.admitted
            ? this.createSelected(selection)
            : this.createRefusal(admission.reason, admission.retryAfterMs);
    }

    /** Lower bound of the fraction of an engine's limit; undefined where owners add no allowance. */
    private get minUsage(): number | undefined {
        return this.isFilled ? minSentUsage : undefined;
    }

    private get isFilled(): boolean {
        const { settings, directory } = this.options.context;
        return isSpareCapacityFilled(settings, directory, this.service);
    }

    private computeBounds({ unloadedMs }: Selection): PromptBounds {
        const { routed, getRemainingMs } = this.options;
        const view = {
            unloadedMs,
            objectiveMs: this.objectiveMs,
            pauseObjectiveMs: routed.route.pauseObjectiveMs,
            remainingMs: getRemainingMs(),
            shareUse: this.shareUse,
        };
        const bounds = computePromptBounds(view, this.minUsage);
        return { ...bounds, maxUsage: Math.min(bounds.maxUsage, this.maxUsage) };
    }

    private createDemand({ target, fetch }: Selection, bounds: PromptBounds): GrantDemand {
        const { routed, outputTokens, chargedTokens, isContinued } = this.options;
        return {
            target,
            head: routed.head,
            copiedTokens: fetch?.tokens ?? 0,
            outputTokens,
            account: isContinued ? undefined : routed.account,
            chargedTokens: isContinued ? 0 : chargedTokens,
            bounds,
            windowMs: routed.route.pauseObjectiveMs,
        };
    }

    /** The selection with the owner's token counts in place of this router's estimates. */
    private applyReply(selection: Selection, { newTokens, queuedTokens }: GrantReply): Selection {
        const model = this.options.context.firstTokenModels.getOrCreate(selection.service.name);
        const fetchMs = selection.fetch?.ms ?? 0;
        const { speedFactor } = selection.target;
        return {
            ...selection,
            newTokens,
            tokensAhead: queuedTokens + newTokens,
            expectedMs: fetchMs + model.estimateMs(queuedTokens + newTokens, speedFactor),
            unloadedMs: fetchMs + model.estimateMs(newTokens, speedFactor),
            speedFactor,
        };
    }

    private createDenial(reason: PromptBounds["reason"], capacityWaitMs: number): AdmissionOutcome {
        const retryAfterMs = computePromptRetryAfterMs(reason, this.objectiveMs, capacityWaitMs);
        return this.createRefusal(reason, retryAfterMs);
    }

    private createSelected(selection: Selection): AdmissionOutcome {
        return { selection, details: this.createDetails() };
    }

    private createRefusal(reason: RouterResponseReason, retryAfterMs: number): AdmissionOutcome {
        return { selection: undefined, reason, retryAfterMs, details: this.createDetails() };
    }

    private createDetails(): AdmissionDetails {
        const { context, routed } = this.options;
        return {
            shareUse: this.shareUse,
            ownersAsked: this.grantRequests,
            ownersSilent: this.unresponsiveOwners,
            decidedBy: this.decidedBy,
            decisionMs: context.clock.nowMs() - routed.arrivedAtMs,
        };
    }

    private computeUsage(): ShareUsage {
        const { context, routed, isContinued } = this.options;
        return routed.route.hasPrompts && !isContinued ? computeShareUsage(context, routed.account) : zeroUsage;
    }
}
