import { SeededRandom } from "../../src/base/random.js";
import type { EnvironmentDocument } from "../../src/document/schema.js";
import { NoopEventRecorder } from "../../src/events/fleetEvent.js";
import type { AgentReport, WorkRequest } from "../../src/fleet/entities.js";
import { defaultRouterOptions, type RouterOptions } from "../../src/fleet/router/options.js";
import { RouterCore } from "../../src/fleet/router/routerCore.js";

/** Builds a document with targets t1 and t2 in data centre a, t3 in b, a department of weight 16 and clubs of weight 1. */
export function createDocument(changes: Partial<EnvironmentDocument> = {}): EnvironmentDocument {
    const target = (dataCentre: string): EnvironmentDocument["targets"][string] => ({
        dataCentre,
        services: ["model"],
        state: "serving",
        maxConcurrent: 4,
        coldLimit: 1,
        checksFencing: true,
    });
    return {
        schemaVersion: 1,
        clientAccounts: {
            department: { weight: 16, apiKeyHashes: [] },
            club1: { weight: 1, apiKeyHashes: [] },
            club2: { weight: 1, apiKeyHashes: [] },
        },
        services: { model: { kind: "model", nonIdempotent: [], deadlineMs: 60_000, longFromCost: 1_000 } },
        dataCentres: { a: { region: "r", state: "in" }, b: { region: "r", state: "in" } },
        targets: { t1: target("a"), t2: target("a"), t3: target("b") },
        limits: {
            maxWaitingTotal: 100,
            maxWaitingPerAccount: 1_000,
            maxOpenPerAccount: 1_000,
            maxBodyBytes: 1_000_000,
            retryRatio: 0.1,
            weightLoadsPerMinute: 10,
        },
        ...changes,
    };
}

/** Builds a short idempotent request that arrives at time 0. */
export function createRequest(id: string, changes: Partial<WorkRequest> = {}): WorkRequest {
    return {
        id,
        clientAccount: "club1",
        service: "model",
        kind: "model",
        idempotent: true,
        idempotencyKey: undefined,
        arrivedAtMs: 0,
        deadlineAtMs: 60_000,
        promptTokens: 10,
        maxTokens: 10,
        prefixHash: undefined,
        bodyBytes: 100,
        ...changes,
    };
}

/** Builds a report of an idle warm agent; t3 is in data centre b. */
export function createReport(agentId: string, sequence: number, changes: Partial<AgentReport> = {}): AgentReport {
    return {
        identity: {
            agentId,
            incarnation: 1,
            targetName: agentId,
            dataCentre: agentId === "t3" ? "b" : "a",
            services: ["model"],
        },
        sequence,
        phase: "serving",
        window: 4,
        running: 0,
        queued: 0,
        cold: false,
        serviceTimeMs: 100,
        documentOffset: 0,
        counters: [],
        cachedPrefixes: [],
        ...changes,
    };
}

/** Builds a router core that has a document and a report of each named agent as idle. */
export function createRouter(
    agentIds: readonly string[],
    options: Partial<RouterOptions> = {},
    document = createDocument(),
): RouterCore {
    const random = new SeededRandom(1);
    const recorder = new NoopEventRecorder();
    const core = new RouterCore("router-1", "a", { ...defaultRouterOptions, ...options }, recorder, random);
    core.handle({ type: "documentAccepted", offset: 0, document }, 0);
    for (const agentId of agentIds) {
        core.handle({ type: "agentReported", report: createReport(agentId, 1) }, 0);
    }
    return core;
}
