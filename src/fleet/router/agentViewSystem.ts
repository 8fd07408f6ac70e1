import { computeNameHash } from "../../decisions/placement/placement.js";
import type { EnvironmentDocument } from "../../document/schema.js";
import type { AgentReport } from "../entities.js";
import type { ExpireSystem } from "./expireSystem.js";
import type { RetrySystem } from "./retrySystem.js";
import type { RouterState } from "./state.js";
import type { AgentEntry } from "./tables.js";
import type { WithdrawSystem } from "./withdrawSystem.js";

/** Keeps what this router knows of agents, and moves work away from those that take nothing new. */
export class AgentViewSystem {
    public constructor(
        private readonly state: RouterState,
        private readonly withdrawSystem: WithdrawSystem,
        private readonly retrySystem: RetrySystem,
        private readonly expireSystem: ExpireSystem,
    ) {}

    /** Takes a report; of one that was overtaken by a newer one only the counters. */
    public receiveReport(report: AgentReport, nowMs: number): void {
        const { state } = this;
        const { agentId } = report.identity;
        const before = state.agents.get(agentId);
        // Also of a report that was overtaken: counters only rise, and the exchange acknowledges them by the number.
        state.claims.receiveReport(report);
        if (before !== undefined && !isNewer(report, before.report)) {
            return;
        }
        const hints = report.cachedPrefixes;
        const entry: AgentEntry = {
            agentId,
            nameHash: before?.nameHash ?? computeNameHash(agentId),
            report,
            cachedPrefixes: hints === before?.report.cachedPrefixes ? before.cachedPrefixes : new Set(hints),
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

    /** An agent does not answer: nothing new goes there, and what it has not started goes elsewhere where that is safe. */
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
                // Whether the agent started it since cannot be known. What runs there is left to the connection, which
                // may still deliver the answer.
                state.addEffect({ type: "cancelWork", requestId, agentId });
                this.retrySystem.handleFailed(request, "unknown", "the agent does not answer", nowMs);
            }
        }
        this.checkServices(entry, nowMs);
    }

    /** A document may take a data centre or a target out, or bring it back. */
    public handleDocument(offset: number, document: EnvironmentDocument, nowMs: number): void {
        const { state } = this;
        if (offset <= state.documentOffset) {
            return;
        }
        state.setDocument(offset, document);
        for (const before of [...state.agents.list()]) {
            const accepting = !before.isLost && isAccepting(before.report, document);
            if (accepting !== before.isAccepting) {
                this.update({ ...before, isAccepting: accepting }, before, nowMs);
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

/** Whether an agent takes new work: by its own word, and by the document, whichever is the first to say no. */
function isAccepting(report: AgentReport, document: EnvironmentDocument | undefined): boolean {
    const { targetName } = report.identity;
    const target = document?.targets[targetName];
    return (
        report.phase === "serving" &&
        target?.state === "serving" &&
        document?.dataCentres[target.dataCentre]?.state === "in"
    );
}
