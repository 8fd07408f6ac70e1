import { describe, expect, it } from "vitest";
import { ModelRouter } from "../../bench/gateway/modelRouter.js";
import { ManualClock } from "../../src/base/clock.js";
import { SeededRandom } from "../../src/base/random.js";
import type { RouteConfiguration } from "../../src/gateway/configuration.js";
import type { GrantMessage } from "../../src/gateway/grants/grantMessage.js";
import { RequestIdentity } from "../../src/gateway/quarantine/requestIdentity.js";
import { RequestStatistics } from "../../src/gateway/accountStatistics.js";
import { RequestAdmission } from "../../src/gateway/requestAdmission.js";
import { TargetSelector } from "../../src/gateway/targetSelector.js";
import { openTargetSend } from "../../src/gateway/targetSend.js";

const service = "engines";
const ownerId = "owner";
const route: RouteConfiguration = {
    name: "stream",
    host: "fleet.example",
    pathPrefix: "/",
    kind: "stream",
    destinations: [{ service, weight: 1 }],
    timeoutMs: 8_000,
    objectiveMs: 800,
    maxAttempts: 1,
    priority: 1,
    isPublic: true,
    isResumable: false,
    hasPrompts: true,
    pauseObjectiveMs: 600,
};
const engine = {
    slots: 8,
    cacheTokens: 1_000,
    tokensPerEvent: 1,
    bytesPerToken: undefined,
    transferBytesPerMs: undefined,
};
const limits = {
    maxHeaderBytes: 1_000,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
    tokensPerSecond: undefined,
};
const head = {
    requestId: "r",
    remainingMs: 8_000,
    apiKey: undefined,
    promptTokens: 100,
    maxOutputTokens: 10,
    promptParts: [],
    lastEventId: undefined,
    resumedRequestId: undefined,
};
/** Rate of a cold target for the whole fleet; divided among four sharers, each of them may send one request per second. */
const coldRequestsPerSecond = 6;
const targetIds = Array.from({ length: 40 }, (...[, index]) => `e${index}`);

/** Creates a router with one peer and a cold target; messages to the peer are appended to `sent`. */
function createRouter(targetId: string, sent: GrantMessage[]): ModelRouter {
    const clock = new ManualClock();
    const router = new ModelRouter({
        index: 0,
        clock,
        random: new SeededRandom(1),
        windowMs: 4_000,
        getExactUses: undefined,
        transport: { send: (...[, message]) => sent.push(message) > 0 },
        setTimer: () => ({ dispose: () => undefined }),
        targets: [
            {
                id: targetId,
                service,
                address: "10.1.0.1:1",
                dataCentre: "a",
                slots: 8,
                state: "ready",
                coldLeftMs: 60_000,
                version: undefined,
                startedAtMs: undefined,
            },
        ],
        configuration: {
            version: 1,
            routes: [route],
            services: [{ name: service, maxConnections: 100, coldStartMs: 0, coldRequestsPerSecond, engine }],
            accounts: [],
            limits,
        },
    });
    router.peers.applyMessage({
        routerId: ownerId,
        incarnation: 1,
        sequence: 1,
        ip: "10.9.9.9",
        periodMs: 100,
        targets: [],
        coveredMs: 0,
        accounts: new Map(),
        reads: [],
        peers: [],
        leaving: [],
        condition: { dataCentre: "dc-a", processorShare: 1, utilization: 0, isWithdrawn: false },
    });
    clock.advance(5_000);
    return router;
}

const identity = new RequestIdentity(undefined, "POST", "/", undefined);

/** Requests admission, and opens the send once the request is admitted, as the request flow does. */
function submitRequest({ context }: ModelRouter, outcomes: boolean[]): void {
    const selector = new TargetSelector(context);
    const figures = new RequestStatistics(undefined, 0);
    const arrivedAtMs = context.clock.nowMs();
    const routed = { head, route, account: undefined, body: undefined, identity, arrivedAtMs, figures };
    const admission = new RequestAdmission({
        context,
        routed,
        selector,
        outputTokens: 10,
        chargedTokens: 0,
        isExcluded: () => false,
        getRemainingMs: () => 8_000,
    });
    admission.check([service], outcome => {
        const { selection } = outcome;
        const send =
            selection === undefined
                ? undefined
                : openTargetSend(selector, { context, selection, routed, sendId: "r", outputTokens: 10 });
        outcomes.push(send !== undefined);
    });
}

/** Creates a router with a first request to a target that the peer owns. */
function createWithPeerOwner(): { router: ModelRouter; sent: GrantMessage[]; outcomes: boolean[] } {
    for (const targetId of targetIds) {
        const sent: GrantMessage[] = [];
        const outcomes: boolean[] = [];
        const router = createRouter(targetId, sent);
        submitRequest(router, outcomes);
        if (sent.length > 0 && outcomes.length === 0) {
            return { router, sent, outcomes };
        }
    }
    throw new Error("none of the targets is owned by the peer and has capacity for a request");
}

const reply = {
    kind: "reply",
    isTargetKnown: true,
    newTokens: 100,
    queuedTokens: 0,
    usage: 0.1,
    maxUsage: 1,
    retryAfterMs: 0,
} as const;

describe("a cold target", () => {
    // Requests that wait for the owner's reply each found capacity at the cold target when it was selected. Sent together they crash it.
    it("receives no more than its rate when several requests are granted at once", () => {
        const { router, sent, outcomes } = createWithPeerOwner();
        submitRequest(router, outcomes);
        submitRequest(router, outcomes);
        for (const { grantId } of sent.slice()) {
            router.context.grants.applyReply(ownerId, { ...reply, granted: true, grantId });
        }
        expect(outcomes).toEqual([true, false, false]);
    });
});
