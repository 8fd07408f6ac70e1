import { describe, expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { SeededRandom } from "../../../src/base/random.js";
import { TargetOwners } from "../../../src/decisions/placement/targetOwners.js";
import { PrefillShare } from "../../../src/decisions/admission/prefillShare.js";
import { FirstTokenModel } from "../../../src/decisions/placement/firstTokenModel.js";
import { NoopLogger } from "../../../src/base/log.js";
import { GrantClient, type GrantDemand, type GrantOutcome } from "../../../src/gateway/grants/grantClient.js";
import type { GrantMessage } from "../../../src/gateway/grants/grantMessage.js";
import { GrantOwner } from "../../../src/gateway/grants/grantOwner.js";
import { LazyMap } from "../../../src/gateway/lazyMap.js";
import { NoExpiryGrace } from "../../../src/decisions/health/recordExpiryPolicy.js";
import { TargetDirectory } from "../../../src/gateway/targetDirectory.js";

const ownId = "router-1";
const ownerId = "router-2";

/** A router that requests grants from `router-2`. Replies arrive only through {@link GrantClient.applyReply}. */
function createFixture(): {
    client: GrantClient;
    demand: GrantDemand;
    sent: GrantMessage[];
    outcomes: GrantOutcome[];
    fireTimers: () => void;
} {
    const clock = new ManualClock();
    const directory = new TargetDirectory({
        clock,
        random: new SeededRandom(1),
        logger: new NoopLogger(),
        connectionLimits: { connectTimeoutMs: 1, mostAnswerBytes: 1 },
        expiryPolicy: new NoExpiryGrace(),
    });
    directory.applyChange({
        kind: "target",
        id: "engine",
        entry: {
            id: "engine",
            service: "engines",
            address: "10.1.0.1:1",
            dataCentre: "a",
            slots: 8,
            state: "ready",
            coldLeftMs: 0,
            version: undefined,
            startedAtMs: undefined,
        },
    });
    const sent: GrantMessage[] = [];
    const outcomes: GrantOutcome[] = [];
    const timers: (() => void)[] = [];
    const client = new GrantClient({
        ownId,
        incarnation: 1,
        owners: new TargetOwners(() => [ownerId]),
        localOwner: new GrantOwner({
            directory,
            clock,
            firstTokenModels: new LazyMap(() => new FirstTokenModel()),
            prefillShares: new LazyMap(() => new PrefillShare()),
        }),
        transport: { send: (...[, message]) => sent.push(message) > 0 },
        clock,
        setTimer: (...[, action]) => {
            timers.push(action);
            return { dispose: () => timers.splice(timers.indexOf(action), 1) };
        },
    });
    const demand: GrantDemand = {
        target: directory.find("engine")!,
        head: {
            requestId: "r",
            remainingMs: 1_000,
            apiKey: undefined,
            promptTokens: 100,
            maxOutputTokens: 10,
            promptParts: [],
            lastEventId: undefined,
            resumedRequestId: undefined,
        },
        copiedTokens: 0,
        outputTokens: 10,
        account: "north",
        chargedTokens: 120,
        bounds: { maxWaitMs: 100, maxUsage: 1 },
        windowMs: 400,
    };
    return { client, demand, sent, outcomes, fireTimers: () => timers.splice(0).forEach(action => action()) };
}

const reply = {
    kind: "reply",
    isTargetKnown: true,
    granted: true,
    newTokens: 100,
    queuedTokens: 0,
    usage: 0.1,
    maxUsage: 1,
    retryAfterMs: 0,
};

describe("a router that requests a grant from an engine's owner", () => {
    // A request must not wait for an owner that hangs or has stopped. A grant that arrives late would take capacity from other requests.
    it("continues after a time-out of the owner, and releases what the owner may have granted", () => {
        const { client, demand, sent, outcomes, fireTimers } = createFixture();
        client.submit(demand, outcome => outcomes.push(outcome));
        fireTimers();
        client.applyReply(ownerId, { ...reply, kind: "reply", grantId: 1 });
        expect(outcomes.map(outcome => outcome.kind)).toEqual(["unanswered"]);
        expect(sent.map(message => (message.kind === "report" ? message.progress : message.kind))).toEqual([
            "request",
            "not-run",
        ]);
    });

    // A datagram of another router, or a duplicate, must not decide a request.
    it("applies the owner's reply once, and no other router's", () => {
        const { client, demand, outcomes } = createFixture();
        client.submit(demand, outcome => outcomes.push(outcome));
        client.applyReply("router-3", { ...reply, kind: "reply", grantId: 1, granted: false });
        client.applyReply(ownerId, { ...reply, kind: "reply", grantId: 1 });
        client.applyReply(ownerId, { ...reply, kind: "reply", grantId: 1, granted: false });
        expect(outcomes.map(outcome => outcome.kind)).toEqual(["granted"]);
    });

    it("decides itself while the owner has no record of the target", () => {
        const { client, demand, outcomes } = createFixture();
        client.submit(demand, outcome => outcomes.push(outcome));
        client.applyReply(ownerId, { ...reply, kind: "reply", grantId: 1, isTargetKnown: false, granted: false });
        expect(outcomes.map(outcome => outcome.kind)).toEqual(["unanswered"]);
    });

    // An owner of the previous version drops longer reports, and would count the request as running until it expires.
    it("reports the slowdown to an owner only once it has shown that it decodes it, but for one copy a second", () => {
        const { client, demand, sent, outcomes } = createFixture();
        demand.target.speed.observeReport(2.5, 0);
        const listReports = (grantId: number, speedFactor?: number): unknown[] => {
            sent.length = 0;
            client.submit(demand, outcome => outcomes.push(outcome));
            client.applyReply(ownerId, { ...reply, kind: "reply", grantId, ...(speedFactor && { speedFactor }) });
            const outcome = outcomes[outcomes.length - 1];
            if (outcome.kind === "granted") {
                outcome.grant.report("started");
                outcome.grant.report("ended");
            }
            return sent.flatMap(message => (message.kind === "report" ? [[message.progress, message.slowdown]] : []));
        };
        expect([listReports(1), listReports(2), listReports(3, 1.2), listReports(4)]).toEqual([
            [
                ["started", undefined],
                ["started", 2.5],
                ["ended", undefined],
            ],
            [
                ["started", undefined],
                ["ended", undefined],
            ],
            [
                ["started", 2.5],
                ["ended", 2.5],
            ],
            [
                ["started", undefined],
                ["ended", undefined],
            ],
        ]);
    });
});
