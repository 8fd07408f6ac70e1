import { ManualClock } from "../../src/base/clock.js";
import { SeededRandom } from "../../src/base/random.js";
import { EventRing } from "../../src/events/eventRing.js";
import { NoopEventRecorder } from "../../src/events/fleetEvent.js";
import { HybridClock } from "../../src/events/hybridClock.js";
import { AgentCore, defaultAgentOptions } from "../../src/fleet/agent/agentCore.js";
import type { AgentReport, ServiceCounter, WorkRequest } from "../../src/fleet/entities.js";
import { KeyTable } from "../../src/fleet/keys/keyTable.js";
import { defaultRouterOptions } from "../../src/fleet/router/options.js";
import { RouterCore } from "../../src/fleet/router/routerCore.js";
import { buildFleetDocument, listFleetTargets, modelService } from "../../test/fakes/fleetDocument.js";

/** Heap bytes that one more entity takes. */
export interface HeapSlope {
    readonly entity: string;
    readonly bytes: number;
}

const warmUp = 500;
const measured = 5_000;
const document = buildFleetDocument(listFleetTargets(3, 5), { deadlineMs: 3_000_000, maxConcurrent: 16 });
const relaxed = {
    ...document,
    limits: { ...document.limits, maxWaitingTotal: 1_000_000, maxWaitingPerAccount: 1_000_000, maxOpenPerAccount: 1e6 },
};

function readHeapBytes(): number {
    // Run with --expose-gc; twice, as the first pass leaves what finalizers free.
    globalThis.gc?.();
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}

function measureSlope(entity: string, add: (index: number) => void): HeapSlope {
    for (let index = 0; index < warmUp; index++) {
        add(index);
    }
    const before = readHeapBytes();
    for (let index = warmUp; index < warmUp + measured; index++) {
        add(index);
    }
    return { entity, bytes: Math.round((readHeapBytes() - before) / measured) };
}

function createRequest(index: number): WorkRequest {
    return {
        id: `0f9c6a34-1f6e-4c0b-9a0e-${String(index).padStart(12, "0")}`,
        clientAccount: "department",
        service: modelService,
        kind: "model",
        idempotent: true,
        idempotencyKey: undefined,
        arrivedAtMs: 0,
        deadlineAtMs: 3_000_000,
        promptTokens: 100,
        maxTokens: 200,
        prefixHash: undefined,
        bodyBytes: 400,
    };
}

function createCounter(index: number): ServiceCounter {
    return {
        service: modelService,
        clientAccount: `account-${index}`,
        charged: index + 0.5,
        refunded: index / 2,
        lift: index / 4,
    };
}

function createReport(index: number, counters: readonly ServiceCounter[]): AgentReport {
    return {
        identity: {
            agentId: `agent-${index}`,
            incarnation: 1,
            targetName: `t-${index}`,
            dataCentre: "dc-1",
            services: [modelService],
        },
        sequence: 1,
        phase: "serving",
        window: 16,
        running: 16,
        queued: 0,
        cold: false,
        serviceTimeMs: 4_000,
        documentOffset: 0,
        counters,
        cachedPrefixes: [],
    };
}

function createRouter(): RouterCore {
    const core = new RouterCore("router-1", "dc-1", defaultRouterOptions, new NoopEventRecorder(), new SeededRandom(1));
    core.handle({ type: "documentAccepted", offset: 0, document: relaxed }, 0);
    return core;
}

function createAgent(): AgentCore {
    const identity = { agentId: "a", incarnation: 1, targetName: "t1-1", dataCentre: "dc-1", services: [modelService] };
    const options = { ...defaultAgentOptions, maxQueuedTotal: 1_000_000, maxQueuedPerAccount: 1_000_000 };
    const core = new AgentCore(identity, options, new NoopEventRecorder(), new SeededRandom(1));
    core.handle({ type: "documentAccepted", offset: 0, document: relaxed }, 0);
    return core;
}

/** Measures what one more request, agent, counter, key and event takes. */
export function measureHeapSlopes(): readonly HeapSlope[] {
    const router = createRouter();
    const seen = createRouter();
    const counting = createRouter();
    const agent = createAgent();
    const claimed = createAgent();
    const ring = new EventRing(new HybridClock(new ManualClock()), { daemon: "d", incarnation: 1 }, 1_000_000);
    const limits = {
        maxEntries: 1e6,
        maxEntriesPerAccount: 1e6,
        maxAnswerBytes: 1e6,
        retentionMs: 1,
        delegationMs: 0e6,
    };
    const keys = new KeyTable({ check: () => ({ type: "new" }) }, limits);
    const slopes = [
        measureSlope("router: waiting request", index => {
            router.handle({ type: "submitted", request: createRequest(index) }, 0);
        }),
        measureSlope("router: agent in view", index => {
            seen.handle({ type: "agentReported", report: createReport(index, []) }, 0);
        }),
        measureSlope("router: service counter of an agent and account", index => {
            const report = createReport(Math.floor(index / 50), [createCounter(index % 50)]);
            counting.handle({ type: "agentReported", report: { ...report, sequence: 1 + (index % 50) } }, 0);
        }),
        measureSlope("agent: queued request", index => {
            agent.handle({ type: "workOffered", request: createRequest(index), routerId: "r" }, 0);
        }),
        measureSlope("agent: account with claims", index => {
            claimed.handle({ type: "claimsReceived", routerId: "r", claims: [createCounter(index)] }, 0);
        }),
        measureSlope("agent: idempotency key", index => {
            keys.resolve(
                {
                    clientAccount: "department",
                    service: "bookings",
                    key: `key-${index}`,
                    requestDigest: String(index).padStart(64, "0"),
                    requestId: `request-${index}`,
                },
                { nowMs: 0, wallMs: 0 },
            );
        }),
        measureSlope("event in the ring", index => {
            ring.record({ kind: "request-started", requestId: `request-${index}`, clientAccount: "department" });
        }),
    ];
    // Kept alive until here: an entity that the collector may take away would measure as nothing.
    const held = [router, seen, counting, agent, claimed, keys, ring].length;
    return held > 0 ? slopes : [];
}
