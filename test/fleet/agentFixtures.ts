import { SeededRandom } from "../../src/base/random.js";
import type { EnvironmentDocument } from "../../src/document/schema.js";
import type { EventRecorder, FleetEventInput } from "../../src/events/fleetEvent.js";
import { AgentCore, defaultAgentOptions, type AgentOptions } from "../../src/fleet/agent/agentCore.js";
import type { AgentEffect } from "../../src/fleet/agentMessages.js";
import type { WorkRequest } from "../../src/fleet/entities.js";

export interface DocumentOptions {
    readonly weights: Readonly<Record<string, number>>;
    readonly maxConcurrent: number;
    readonly coldLimit: number;
    readonly dataCentreState: "in" | "out";
    readonly targetState: "serving" | "draining";
    readonly longFromCost: number;
}

/** A document with one data centre, one target and one service of each kind. */
export function createDocument(choices: Partial<DocumentOptions> = {}): EnvironmentDocument {
    const weights = choices.weights ?? { department: 16, club: 1 };
    const clientAccounts = Object.fromEntries(
        Object.entries(weights).map(([name, weight]) => [name, { weight, apiKeyHashes: [] }]),
    );
    return {
        schemaVersion: 1,
        clientAccounts,
        services: {
            planner: {
                kind: "model",
                nonIdempotent: [],
                deadlineMs: 60_000,
                longFromCost: choices.longFromCost ?? 4_000,
            },
            bookings: { kind: "plain", nonIdempotent: [], deadlineMs: 10_000, longFromCost: 2_000 },
        },
        dataCentres: { "gt-a": { region: "gt-central", state: choices.dataCentreState ?? "in" } },
        targets: {
            t1: {
                dataCentre: "gt-a",
                services: ["planner", "bookings"],
                state: choices.targetState ?? "serving",
                maxConcurrent: choices.maxConcurrent ?? 8,
                coldLimit: choices.coldLimit ?? 2,
                checksFencing: true,
            },
        },
        limits: {
            maxWaitingTotal: 10_000,
            maxWaitingPerAccount: 1_000,
            maxOpenPerAccount: 1_000,
            maxBodyBytes: 1_000_000,
            retryRatio: 0.1,
            weightLoadsPerMinute: 6,
        },
    };
}

/** An idempotent model request of `department` with a minute to its deadline, changed as asked. */
export function createRequest(id: string, changes: Partial<WorkRequest> = {}): WorkRequest {
    const arrivedAtMs = changes.arrivedAtMs ?? 0;
    return {
        id,
        clientAccount: "department",
        service: "planner",
        kind: "model",
        idempotent: true,
        idempotencyKey: undefined,
        arrivedAtMs,
        deadlineAtMs: arrivedAtMs + 60_000,
        promptTokens: 100,
        maxTokens: 100,
        prefixHash: undefined,
        bodyBytes: 0,
        ...changes,
    };
}

/** Keeps what was recorded. */
export class ListRecorder implements EventRecorder {
    public readonly events: FleetEventInput[] = [];

    public record(event: FleetEventInput): void {
        this.events.push(event);
    }
}

/** An agent's core for target `t1`, without a document yet. */
export function createAgent(
    recorder: EventRecorder = new ListRecorder(),
    incarnation = 1,
    options: Partial<AgentOptions> = {},
): AgentCore {
    const identity = {
        agentId: "agent-t1",
        incarnation,
        targetName: "t1",
        dataCentre: "gt-a",
        services: ["planner", "bookings"],
    };
    return new AgentCore(identity, { ...defaultAgentOptions, ...options }, recorder, new SeededRandom(1));
}

/** Brings an agent past its cold start by two reports after the lag; takes until 4,000 ms. */
export function createWarmAgent(choices: Partial<DocumentOptions> = {}, recorder?: EventRecorder): AgentCore {
    const agent = createAgent(recorder);
    agent.handle({ type: "documentAccepted", offset: 1, document: createDocument(choices) }, 0);
    for (const atMs of [3_000, 4_000]) {
        agent.handle({ type: "targetReported", cold: false, running: 0, waiting: 0 }, atMs);
    }
    return agent;
}

/** Effects in short: `start a`, `withdrawn b`, `refused c deadline not-run 200`. */
export function formatEffects(effects: readonly AgentEffect[]): readonly string[] {
    return effects.map(effect => {
        switch (effect.type) {
            case "startWork":
                return `start ${effect.requestId}`;
            case "refuseWork": {
                const { reason, execution, retryAfterMs } = effect.refusal;
                return `refused ${effect.requestId} ${reason} ${execution} ${retryAfterMs ?? "-"}`;
            }
            case "workWithdrawn":
                return `withdrawn ${effect.requestId}`;
            case "withdrawRefused":
                return `kept ${effect.requestId}`;
            case "cancelRun":
                return `cancel ${effect.requestId}`;
        }
    });
}
