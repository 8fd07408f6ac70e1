import { computeNameHash } from "../../decisions/placement/placement.js";
import type { EnvironmentDocument } from "../../document/schema.js";
import type { AgentReport } from "../entities.js";
import type { ExpireSystem } from "./expireSystem.js";
import type { RetrySystem } from "./retrySystem.js";
import type { RouterState } from "./state.js";
import type { AgentEntry } from "./tables.js";
import type { WithdrawSystem } from "./withdrawSystem.js";

/** Maintains the reported state of agents and moves queued work away from agents that accept no new work. */
export class AgentViewSystem {
    public constructor(
        private readonly state: RouterState,
        private readonly withdrawSystem: WithdrawSystem,
        private readonly retrySystem: RetrySystem,
        private readonly expireSystem: ExpireSystem,
    ) {}

    /** Applies a report. Of a report that arrives after a newer one, only the counters are applied. */
    public receiveReport(report: AgentReport, nowMs: number): void {
        const { state } = this;
        const { agentId } = report.identity;
        const before = state.agents.get(agentId);
        // Counters are applied from outdated reports too: they never decrease, and the exchange acknowledges each report's
        // sequence number, so the agent doesn't send these counters again.
        state.claims.receiveReport(report);
        if (before !== undefined && !isNewer(report, before.report)) {
            return;
        }
        const prefixes = report.cachedPrefixes;
        const entry: AgentEntry = {
            agentId,
            nameHash: before?.nameHash ?? computeNameHash(agentId),
            report,
            cachedPrefixes: prefixes === before?.report.cachedPrefixes ? before.cachedPrefixes : new Set(prefixes),
            isAccepting: isAccepting(report, state.document),
            isLost: false,
            sentSinceReport: 0,
        };
        this.update(entry, before, nowMs);
        if (entry.isAccepting) {
            this.withdrawSystem.withdrawForCapacity(entry, nowMs);
            this.withdrawSystem.withdrawFromBusy(entry, nowMs);
        }
    }

    /** Handles an unresponsive agent: it is offered no new work, and requests it has not started are retried where safe. */
    public handleLost(agentId: string, nowMs: number): void {
        const { state } = this;
        const before = state.agents.get(agentId);
        if (before === undefined || before.isLost) {
            return;
        }
        const { targetName, dataCentre } = before.report.identity;
        state.recordAgentLost(targetName, dataCentre);
        const entry: AgentEntry = { ...before, isAccepting: false, isLost: true };
        state.agents.set(entry);
        for (const requestId of state.offers.list(agentId)) {
            const request = state.requests.get(requestId);
            if (request !== undefined) {
                // Whether the agent has started the request since can't be determined. Requests reported as started are
                // not retried, because their connection may still deliver the response.
                state.addEffect({ type: "cancelWork", requestId, agentId });
                this.retrySystem.handleFailed(request, "unknown", "the agent does not answer", nowMs);
            }
        }
        this.checkServices(entry, nowMs);
    }

    /** Applies a newer document, which may take data centres or targets out of service or return them to service. */
    public handleDocument(offset: number, document: EnvironmentDocument, nowMs: number): void {
        const { state } = this;
        if (offset <= state.documentOffset) {
            return;
        }
        state.setDocument(offset, document);
        for (const before of [...state.agents.list()]) {
            const acceptsWork = !before.isLost && isAccepting(before.report, document);
            if (acceptsWork !== before.isAccepting) {
                this.update({ ...before, isAccepting: acceptsWork }, before, nowMs);
            }
        }
    }

    private update(entry: AgentEntry, before: AgentEntry | undefined, nowMs: number): void {
        const { state } = this;
        state.agents.set(entry);
        if (entry.isAccepting && before?.isAccepting !== true) {
            state.backlog.handleAllChanged();
            this.checkServices(entry, nowMs);
        }
        if (!entry.isAccepting && before?.isAccepting !== false) {
            this.withdrawSystem.withdrawAll(entry.agentId, nowMs);
            state.backlog.handleAllChanged();
            this.checkServices(entry, nowMs);
        }
    }

    private checkServices(entry: AgentEntry, nowMs: number): void {
        for (const service of entry.report.identity.services) {
            this.expireSystem.checkService(service, nowMs);
        }
    }
}

function isNewer(report: AgentReport, before: AgentReport): boolean {
    const { incarnation } = report.identity;
    return (
        incarnation > before.identity.incarnation ||
        (incarnation === before.identity.incarnation && report.sequence > before.sequence)
    );
}

/** Whether an agent accepts new work: its own report and the document must both allow it. */
function isAccepting(report: AgentReport, document: EnvironmentDocument | undefined): boolean {
    const { targetName } = report.identity;
    const target = document?.targets[targetName];
    return (
        report.phase === "serving" &&
        target?.state === "serving" &&
        document?.dataCentres[target.dataCentre]?.state === "in"
    );
}
