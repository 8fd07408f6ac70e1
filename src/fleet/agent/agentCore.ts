import type { Random } from "../../base/random.js";
import type { EventRecorder } from "../../events/fleetEvent.js";
import type { AgentEffect, AgentMessage } from "../agentMessages.js";
import type { ClientShare } from "../clientShare.js";
import type { Core } from "../core.js";
import type { AgentIdentity, AgentPhase, AgentReport, BriefReport, ServiceCounter } from "../entities.js";
import { receiveOffer } from "./admitSystem.js";
import { AgentContext } from "./agentContext.js";
import type { AgentOptions } from "./agentOptions.js";
import { chargeElapsed, chargeProgress } from "./chargeSystem.js";
import { advanceHorizons, receiveClaims } from "./claimSystem.js";
import { refuseExpired } from "./expireSystem.js";
import { receiveDocument, receiveLeaving } from "./phaseSystem.js";
import { checkLateOutputs, getLateCheckAtMs, receiveColdSign, receiveEnd, receiveFirstOutput } from "./runSystem.js";
import { isLongHeldBack, startWork } from "./startSystem.js";
import { receiveCancel, receiveWithdraw } from "./withdrawSystem.js";

export { defaultAgentOptions, type AgentOptions } from "./agentOptions.js";

/**
 * The deterministic core of the agent role. It alone decides which requests start at its target, and when.
 *
 * Each message changes the tables; then the systems run in a fixed order: expired requests are refused, overdue first
 * outputs are detected, charges expected from other agents are added, and waiting requests are started.
 */
export class AgentCore implements Core<AgentMessage, AgentEffect> {
    private readonly context: AgentContext;
    private lastNowMs = 0;

    public constructor(identity: AgentIdentity, options: AgentOptions, recorder: EventRecorder, random: Random) {
        this.context = new AgentContext(identity, options, recorder, random);
        for (const service of identity.services) {
            this.context.getRow(service);
        }
    }

    public handle(message: AgentMessage, nowMs: number): readonly AgentEffect[] {
        this.applyMessage(message, nowMs);
        return this.tick(nowMs);
    }

    public tick(nowMs: number): readonly AgentEffect[] {
        this.lastNowMs = nowMs;
        refuseExpired(this.context, nowMs);
        checkLateOutputs(this.context, nowMs);
        advanceHorizons(this.context, nowMs);
        startWork(this.context, nowMs);
        return this.context.takeEffects();
    }

    public nextTickAtMs(): number | undefined {
        const { context, lastNowMs } = this;
        const hasQueued = context.deadlines.size > 0;
        return getEarliest([
            context.deadlines.getMin()?.priority,
            getLateCheckAtMs(context),
            hasQueued ? context.circuit.probeAtMs : undefined,
            hasQueued ? context.pause.findNextChangeAtMs(lastNowMs) : undefined,
            hasQueued && isLongHeldBack(context, lastNowMs) ? context.reserve.getExpiryAtMs(lastNowMs) : undefined,
        ]);
    }

    /** Current phase, which determines whether routers may offer requests to this agent. */
    public get phase(): AgentPhase {
        return this.context.phase;
    }

    /**
     * Report for a router: the counters that changed since the acknowledged sequence number, or all counters without
     * one.
     */
    public createReport(acknowledgedSequence: number | undefined): AgentReport {
        // A sequence number that this incarnation has not issued yet was acknowledged to another incarnation.
        // It is ignored.
        const isOwn = acknowledgedSequence !== undefined && acknowledgedSequence < this.context.nextSequence;
        const since = isOwn ? acknowledgedSequence : undefined;
        return { ...this.createBriefReport(), counters: this.listCounters(since) };
    }

    /**
     * Report without counters, for replies: with 350 accounts the counters of one report take tens of kilobytes. It
     * uses up a sequence number like any other report, so a receiver must still merge the counters of reports with
     * lower sequence numbers that arrive after it.
     */
    public createBriefReport(): AgentReport {
        const { context } = this;
        const sequence = context.nextSequence;
        context.nextSequence += 1;
        return {
            identity: { ...context.identity, services: context.listServices() },
            sequence,
            phase: context.phase,
            window: context.circuit.isOpen ? Math.min(1, context.window.limit) : context.window.limit,
            running: context.tables.running.size,
            queued: context.tables.countQueued(),
            cold: context.window.isCold,
            serviceTimeMs: context.serviceTimeMs,
            documentOffset: context.documentOffset,
            counters: [],
            cachedPrefixes: [...context.cachedPrefixes.keys()].reverse(),
        };
    }

    /** Small report that is sent with a reply: with the counter of one account and without prefix hashes. */
    public createAnswerReport(service: string, clientAccount: string): BriefReport {
        const counter = this.context.tables.services.get(service)?.ledger.getCounter(clientAccount);
        const counters = counter === undefined ? [] : [{ service, ...counter }];
        return { ...this.createBriefReport(), counters, cachedPrefixes: undefined };
    }

    /** Weight, service, waiting and running requests of each account at each service, as recorded by this agent. */
    public listShares(): readonly ClientShare[] {
        const { context } = this;
        return [...context.tables.services.values()].flatMap(({ service, ledger, queue }) =>
            ledger.listAccounts().map(clientAccount => ({
                clientAccount,
                service,
                weight: context.getWeight(clientAccount),
                normalizedService: ledger.getNormalizedService(clientAccount),
                waiting: queue.countWaiting(clientAccount),
                running: context.tables.countRunning(service, clientAccount),
            })),
        );
    }

    private listCounters(acknowledgedSequence: number | undefined): readonly ServiceCounter[] {
        return [...this.context.tables.services.values()].flatMap(({ service, ledger }) =>
            ledger.listChangedSince(acknowledgedSequence).map(counter => ({ service, ...counter })),
        );
    }

    private applyMessage(message: AgentMessage, nowMs: number): void {
        const { context } = this;
        switch (message.type) {
            case "workOffered":
                return receiveOffer(context, message.request, message.routerId, nowMs);
            case "withdrawRequested":
                return receiveWithdraw(context, message.requestId, message.incarnation, nowMs);
            case "workCancelled":
                return receiveCancel(context, message.requestId, nowMs);
            case "firstOutput":
                return receiveFirstOutput(context, message.requestId, nowMs);
            case "progressed":
                return chargeProgress(context, message.requestId, message.tokens);
            case "runEnded":
                chargeElapsed(context, nowMs);
                return receiveEnd(context, message.requestId, message, nowMs);
            case "targetReported":
                return context.recordWindow(context.window.observeReport(message.cold, nowMs));
            case "targetLost":
                return receiveColdSign(context, "target lost", nowMs);
            case "claimsReceived":
                return receiveClaims(context, message.routerId, message.claims, message.source ?? "exchange", nowMs);
            case "documentAccepted":
                return receiveDocument(context, message.offset, message.document, nowMs);
            case "leaving":
                return receiveLeaving(context, nowMs);
        }
    }
}

function getEarliest(times: readonly (number | undefined)[]): number | undefined {
    let earliest: number | undefined;
    for (const time of times) {
        if (time !== undefined && (earliest === undefined || time < earliest)) {
            earliest = time;
        }
    }
    return earliest;
}
