import {
    checkPromptAdmission,
    computeMaxUsage,
    computePromptBounds,
    computePromptRetryAfterMs,
    type PromptBounds,
} from "../decisions/admission/promptAdmission.js";
import { zeroUsage, type ShareUsage } from "../decisions/shares/accountShares.js";
import { computeShareUsage } from "./computeShareUsage.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { GrantDemand } from "./grants/grantClient.js";
import type { GrantReply } from "./grants/grantMessage.js";
import type { RouterResponseReason } from "./routerResponse.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { Selection, TargetFilter, TargetSelector } from "./targetSelector.js";

/**
 * What decided on a prompt: an engine's owner, this router's beliefs where no owner answered, or what it remembers of an owner's
 * denial. None: there was no prompt to read, or no target.
 */
export type DecisionSource = "owner" | "beliefs" | "memory" | "none";

/** What an admission went by. */
export interface AdmissionDetails {
    /** What its account had got, over what it may have. */
    readonly shareUse: ShareUsage;
    /** Owners of engines that were asked for a grant, and those among them that did not answer. */
    readonly ownersAsked: number;
    readonly ownersSilent: number;
    readonly decidedBy: DecisionSource;
    /** From its arrival to the decision; milliseconds, undefined without one. */
    readonly decisionMs: number | undefined;
}

/** Facts of a request that was not looked at. */
export const emptyAdmission: AdmissionDetails = {
    shareUse: zeroUsage,
    ownersAsked: 0,
    ownersSilent: 0,
    decidedBy: "none",
    decisionMs: undefined,
};

/** Where a request goes first, or why it is refused. */
export type AdmissionOutcome = { readonly details: AdmissionDetails } & (
    | { readonly selection: Selection }
    | { readonly selection: undefined; readonly reason: RouterResponseReason; readonly retryAfterMs: number }
);

/** Part of the objective that a plain request may wait. */
const plainUsableShare = 0.6;
/** Owners that are asked for one request: further ones would cost more than the little that is left after three denials. */
const mostDemands = 3;

/** What a {@link RequestAdmission} needs. */
export interface RequestAdmissionOptions {
    readonly context: GatewayContext;
    readonly routed: RoutedRequest;
    readonly selector: TargetSelector;
    /** Tokens that the request is expected to generate. */
    readonly outputTokens: number;
    /** What it counts against its account's share. */
    readonly chargedTokens: number;
    /** Targets that it must not go to. */
    readonly isExcluded: TargetFilter;
    readonly getRemainingMs: () => number;
}

/** Decides whether a request is sent on and where to, before its first send; asks the owners of model engines. */
export class RequestAdmission {
    private demands = 0;
    private silences = 0;
    /** Until the first engine that denied the request has room. */
    private roomMs = Number.POSITIVE_INFINITY;
    /** Part of an engine's limit that owners let the request use at most; one account's denial is not another one's. */
    private mostUse = Number.POSITIVE_INFINITY;
    private shareUse = zeroUsage;
    private decidedBy: DecisionSource = "none";

    public constructor(private readonly options: RequestAdmissionOptions) {}

    /** The outcome always comes, at once or after the owners' answers. */
    public check(services: readonly string[], handleOutcome: (outcome: AdmissionOutcome) => void): void {
        this.shareUse = this.computeUse();
        const selection = this.select(services, computeMaxUsage(this.shareUse));
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
        const isLate = selection.expectedMs > this.options.routed.route.objectiveMs * plainUsableShare;
        return isLate ? this.createRefusal("late", selection.expectedMs) : this.createSelected(selection);
    }

    /**
     * Asks the owner of the selected target, and after a denial that of the next one. A target that turns requests away may still be
     * the best choice: to read or copy shared parts elsewhere would cost more than to come back when it has room.
     */
    private checkPrompt(
        services: readonly string[],
        selection: Selection,
        handleOutcome: (outcome: AdmissionOutcome) => void,
    ): void {
        const { context, routed } = this.options;
        const { clock, grants } = context;
        const { target } = selection;
        const bounds = this.computeBounds(selection);
        const deniedMs = this.computeDeniedMs(selection, bounds);
        if (deniedMs > 0 || this.demands >= mostDemands) {
            this.recordDenial(selection, bounds);
            this.recordDecision(this.demands > 0 ? "owner" : "memory");
            handleOutcome(this.createDenial(bounds.reason, deniedMs));
            return;
        }
        this.demands += 1;
        routed.figures.record("asked-owner");
        grants.submit(this.createDemand(selection, bounds), outcome => {
            if (outcome.kind === "unanswered") {
                this.silences += 1;
                routed.figures.record("owner-silent");
                this.recordDecision("beliefs");
                handleOutcome(this.checkByBelief(selection));
                return;
            }
            target.applyGrantReply(outcome.reply, clock.nowMs());
            this.mostUse = Math.min(this.mostUse, outcome.reply.maxUsage);
            this.roomMs = Math.min(this.roomMs, outcome.reply.retryAfterMs);
            if (outcome.kind === "granted") {
                routed.figures.record("granted");
                this.recordDecision("owner");
                const granted = this.applyReply(selection, outcome.reply);
                handleOutcome(this.createSelected({ ...granted, grant: outcome.grant }));
            } else {
                this.checkPrompt(services, this.select(services, this.mostUse) ?? selection, handleOutcome);
            }
        });
    }

    /** How long the target's owner, or those of others asked just now, turn such requests away; milliseconds, 0 if they don't. */
    private computeDeniedMs({ target, service }: Selection, { maxUsage: mostUse, reason }: PromptBounds): number {
        const { context, routed } = this.options;
        const nowMs = context.clock.nowMs();
        const deniedMs = target.computeDeniedMs(mostUse, nowMs);
        if (reason !== "over-share" || routed.account === undefined || this.demands > 0) {
            return deniedMs;
        }
        const denials = context.denials.getOrCreate(service.name);
        return Math.max(deniedMs, denials.computeDeniedMs(routed.account, mostUse, nowMs));
    }

    private recordDenial({ service }: Selection, { maxUsage: mostUse, reason }: PromptBounds): void {
        const { context, routed } = this.options;
        if (reason === "over-share" && routed.account !== undefined && this.demands > 0) {
            const denials = context.denials.getOrCreate(service.name);
            const asker = {
                utilization: context.load.loop.utilization,
                accountFraction: context.shares.computeOwnFraction(routed.account),
                routerCount: context.peers.routers.routerIds.length,
            };
            denials.record(routed.account, mostUse, this.roomMs, asker, context.clock.nowMs());
        }
    }

    private recordDecision(source: Exclude<DecisionSource, "none">): void {
        this.decidedBy = source;
        this.options.routed.figures.record(`decided-by-${source}`);
    }

    private select(services: readonly string[], mostUse: number): Selection | undefined {
        const { routed, selector, isExcluded: isLeftOut } = this.options;
        return selector.select(services, routed.head, routed.route.hasPrompts, isLeftOut, mostUse);
    }

    /** Without an owner this router goes by what it believes of the target. */
    private checkByBelief(selection: Selection): AdmissionOutcome {
        const { context, routed, getRemainingMs: getTimeLeftMs } = this.options;
        const admission = checkPromptAdmission({
            expectedMs: selection.expectedMs,
            unloadedMs: selection.unloadedMs,
            objectiveMs: routed.route.objectiveMs,
            pauseObjectiveMs: routed.route.pauseObjectiveMs,
            remainingMs: getTimeLeftMs(),
            shareUse: this.shareUse,
            idleShare: context.idleShares.getOrCreate(selection.service.name).current,
        });
        return admission.admitted
            ? this.createSelected(selection)
            : this.createRefusal(admission.reason, admission.retryAfterMs);
    }

    private computeBounds({ unloadedMs: aloneMs }: Selection): PromptBounds {
        const { routed, getRemainingMs: getTimeLeftMs } = this.options;
        const bounds = computePromptBounds({
            unloadedMs: aloneMs,
            objectiveMs: routed.route.objectiveMs,
            pauseObjectiveMs: routed.route.pauseObjectiveMs,
            remainingMs: getTimeLeftMs(),
            shareUse: this.shareUse,
        });
        return { ...bounds, maxUsage: Math.min(bounds.maxUsage, this.mostUse) };
    }

    private createDemand({ target, fetch }: Selection, bounds: PromptBounds): GrantDemand {
        const { routed, outputTokens, chargedTokens } = this.options;
        return {
            target,
            head: routed.head,
            copiedTokens: fetch?.tokens ?? 0,
            outputTokens,
            account: routed.account,
            chargedTokens,
            bounds,
            windowMs: routed.route.pauseObjectiveMs,
        };
    }

    /** The selection with the owner's figures in place of this router's beliefs. */
    private applyReply(selection: Selection, { newTokens, queuedTokens: aheadTokens }: GrantReply): Selection {
        const model = this.options.context.firstTokenModels.getOrCreate(selection.service.name);
        const fetchMs = selection.fetch?.ms ?? 0;
        return {
            ...selection,
            newTokens,
            tokensAhead: aheadTokens + newTokens,
            expectedMs: fetchMs + model.estimateMs(aheadTokens + newTokens),
            unloadedMs: fetchMs + model.estimateMs(newTokens),
        };
    }

    private createDenial(reason: PromptBounds["reason"], roomMs: number): AdmissionOutcome {
        return this.createRefusal(
            reason,
            computePromptRetryAfterMs(reason, this.options.routed.route.objectiveMs, roomMs),
        );
    }

    private createSelected(selection: Selection): AdmissionOutcome {
        return { selection, details: this.createFacts() };
    }

    private createRefusal(reason: RouterResponseReason, retryAfterMs: number): AdmissionOutcome {
        return { selection: undefined, reason, retryAfterMs, details: this.createFacts() };
    }

    private createFacts(): AdmissionDetails {
        const { context, routed } = this.options;
        return {
            shareUse: this.shareUse,
            ownersAsked: this.demands,
            ownersSilent: this.silences,
            decidedBy: this.decidedBy,
            decisionMs: context.clock.nowMs() - routed.arrivedAtMs,
        };
    }

    private computeUse(): ShareUsage {
        const { context, routed } = this.options;
        return routed.route.hasPrompts ? computeShareUsage(context, routed.account) : zeroUsage;
    }
}
