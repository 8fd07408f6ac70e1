import { SeededRandom } from "../../src/base/random.js";
import type { EnvironmentDocument } from "../../src/document/schema.js";
import type { EventRecorder, FleetEventInput } from "../../src/events/fleetEvent.js";
import { AgentCore, defaultAgentOptions, type AgentOptions } from "../../src/fleet/agent/agentCore.js";
import type { AgentEffect } from "../../src/fleet/agentMessages.js";
import type { WorkRequest } from "../../src/fleet/entities.js";

/** Values of a test document that tests vary. */
export interface DocumentOptions {
    readonly weights: Readonly<Record<string, number>>;
    readonly maxConcurrent: number;
    readonly coldLimit: number;
    readonly dataCentreState: "in" | "out";
    readonly targetState: "serving" | "draining";
    readonly longFromCost: number;
}

/** Creates a document with one data centre, one target and one service of each kind. */
export function createDocument(options: Partial<DocumentOptions> = {}): EnvironmentDocument {
    const weights = options.weights ?? { department: 16, club: 1 };
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
                longFromCost: options.longFromCost ?? 4_000,
            },
            bookings: { kind: "plain", nonIdempotent: [], deadlineMs: 10_000, longFromCost: 2_000 },
        },
        dataCentres: { "gt-a": { region: "gt-central", state: options.dataCentreState ?? "in" } },
        targets: {
            t1: {
                dataCentre: "gt-a",
                services: ["planner", "bookings"],
                state: options.targetState ?? "serving",
                maxConcurrent: options.maxConcurrent ?? 8,
                coldLimit: options.coldLimit ?? 2,
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

/**
 * Creates an idempotent model request of `department` that is due a minute after its arrival, with `changes` applied.
 */
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

/** Keeps all recorded events in a list. */
export class ListRecorder implements EventRecorder {
    public readonly events: FleetEventInput[] = [];

    public record(event: FleetEventInput): void {
        this.events.push(event);
    }
}

/** Creates an agent's core for target `t1` that has not received a document. */
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

/** Creates an agent past its cold start: two reports after the report lag end it at 4,000 ms. */
export function createWarmAgent(options: Partial<DocumentOptions> = {}, recorder?: EventRecorder): AgentCore {
    const agent = createAgent(recorder);
    agent.handle({ type: "documentAccepted", offset: 1, document: createDocument(options) }, 0);
    for (const atMs of [3_000, 4_000]) {
        agent.handle({ type: "targetReported", cold: false, running: 0, waiting: 0 }, atMs);
    }
    return agent;
}

/** Formats effects as short texts: `start a`, `withdrawn b`, `refused c deadline not-run 200`. */
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
