import type { EnvironmentDocument } from "../../document/schema.js";
import type { AgentIdentity, AgentPhase } from "../entities.js";
import type { AgentContext } from "./agentContext.js";

/** Applies a newer document: weights, limits, and the phase of the target. */
export function receiveDocument(
    context: AgentContext,
    offset: number,
    document: EnvironmentDocument,
    nowMs: number,
): void {
    // An older document that arrives late must not put a data centre or target back into service.
    if (offset <= context.documentOffset) {
        return;
    }
    context.documentOffset = offset;
    context.document = document;
    const target = document.targets[context.identity.targetName];
    if (target !== undefined && context.window.setLimits(target, nowMs)) {
        context.recordWindow("limits");
    }
    if (context.phase !== "leaving") {
        setPhase(context, computePhase(context.identity, document), nowMs);
    }
}

/** Handles the signal to stop; the agent never returns from phase `leaving`. */
export function receiveLeaving(context: AgentContext, nowMs: number): void {
    setPhase(context, "leaving", nowMs);
}

function computePhase(identity: AgentIdentity, document: EnvironmentDocument): AgentPhase {
    const target = document.targets[identity.targetName];
    const isOut = [identity.dataCentre, target?.dataCentre].some(
        name => name !== undefined && document.dataCentres[name]?.state !== "in",
    );
    if (isOut) {
        return "out";
    }
    return target === undefined || target.state === "draining" ? "draining" : "serving";
}

function setPhase(context: AgentContext, phase: AgentPhase, nowMs: number): void {
    if (context.phase === phase) {
        return;
    }
    context.phase = phase;
    context.record({ kind: "phase-changed", reason: phase });
    if (phase !== "serving") {
        withdrawAll(context, phase, nowMs);
    }
}

function withdrawAll(context: AgentContext, phase: AgentPhase, nowMs: number): void {
    for (const row of context.tables.services.values()) {
        for (const id of row.queue.listIds()) {
            const work = row.queue.get(id);
            if (work !== undefined) {
                context.withdrawQueued(work, phase, nowMs);
            }
        }
    }
}
