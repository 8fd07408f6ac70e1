import { expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { hashFast } from "../../../src/base/hash.js";
import { NoopLogger } from "../../../src/base/log.js";
import { SeededRandom } from "../../../src/base/random.js";
import { NoExpiryGrace } from "../../../src/decisions/health/recordExpiryPolicy.js";
import { FirstTokenModel } from "../../../src/decisions/placement/firstTokenModel.js";
import type { GrantReply, GrantReport, GrantRequest } from "../../../src/gateway/grants/grantMessage.js";
import { GrantSpeeds } from "../../../src/gateway/grants/grantSpeeds.js";
import { LazyMap } from "../../../src/gateway/lazyMap.js";
import { TargetDirectory } from "../../../src/gateway/targetDirectory.js";

const id = "engine";
const entry = {
    id,
    service: "engines",
    address: "10.1.0.1:1",
    dataCentre: "a",
    slots: 8,
    state: "ready",
    coldLeftMs: 0,
    version: "v1",
    startedAtMs: 1,
} as const;
const request: GrantRequest = {
    kind: "request",
    grantId: 1,
    incarnation: 7,
    targetHash: hashFast(id),
    sharedParts: [],
    ownTokens: 3_000,
    copiedTokens: 0,
    outputTokens: 10,
    accountHash: 0,
    chargedTokens: 120,
    maxWaitMs: 100,
    maxUsage: 1,
    windowMs: 400,
    isUnconditional: false,
};
const reply: GrantReply = {
    kind: "reply",
    grantId: 1,
    isTargetKnown: true,
    granted: true,
    newTokens: 3_000,
    queuedTokens: 0,
    usage: 0.1,
    maxUsage: 1,
    retryAfterMs: 0,
};
const report: GrantReport = {
    kind: "report",
    grantId: 1,
    incarnation: 7,
    targetHash: hashFast(id),
    progress: "started",
};

function createFixture(): { clock: ManualClock; directory: TargetDirectory; speeds: GrantSpeeds } {
    const clock = new ManualClock();
    const directory = new TargetDirectory({
        clock,
        random: new SeededRandom(1),
        logger: new NoopLogger(),
        connectionLimits: { connectTimeoutMs: 1, mostAnswerBytes: 1 },
        expiryPolicy: new NoExpiryGrace(),
    });
    directory.applyChange({ kind: "target", id, entry });
    const firstTokenModels = new LazyMap(() => new FirstTokenModel());
    return { clock, directory, speeds: new GrantSpeeds({ directory, clock, firstTokenModels }) };
}

// A router of the previous version drops the longer reply, and would time out on each request.
it("an owner sends its speed factor only to incarnations of routers that have sent a slowdown", () => {
    const { speeds } = createFixture();
    const before = speeds.addSpeed("router-2", request, reply);
    speeds.applyReport("router-2", { ...report, slowdown: 1.5 });
    const after = speeds.addSpeed("router-2", request, reply);
    const restarted = speeds.addSpeed("router-2", { ...request, incarnation: 8 }, reply);
    const other = speeds.addSpeed("router-3", request, reply);
    expect([before, after, restarted, other].map(({ speedFactor }) => speedFactor)).toEqual([
        undefined,
        1.5,
        undefined,
        undefined,
    ]);
});

// The owner's own requests are too few to learn the engine's speed from.
it("an owner learns an engine's speed from the starts that other routers report, but not from copies", () => {
    const factors = [0, 500].map(copiedTokens => {
        const { clock, directory, speeds } = createFixture();
        const { speed } = directory.find(id)!;
        // A second engine, so that the first one's speed differs from the mean.
        directory.applyChange({ kind: "target", id: "other", entry: { ...entry, id: "other" } });
        const other = directory.find("other")!.speed;
        other.observeReport(1, 0);
        for (let index = 0; index < 30; index++) {
            other.observeFirstOutput(
                { tookMs: 100, fixedMs: 0, prefillMs: 100 },
                other.estimate(clock.nowMs()),
                clock.nowMs(),
            );
            const grant = { ...request, grantId: index, copiedTokens };
            speeds.addSpeed("router-2", grant, reply);
            clock.advance(340);
            speeds.applyReport("router-2", { ...report, grantId: index });
        }
        return speed.estimate(clock.nowMs()).factor;
    });
    expect([factors[0] > 1.4, factors[1]]).toEqual([true, 1]);
});

it("a restarted engine has no speed of its own yet, and reports of its earlier start are ignored", () => {
    const { directory } = createFixture();
    const target = directory.find(id)!;
    const earlier = target.availability;
    const kinds: string[] = [];
    directory.onDidReceiveSignal(({ kind }) => kinds.push(kind));
    const signals = {
        isLeaving: false,
        pause: { kind: "none" },
        load: { running: 0, waiting: 0, slots: 8, slowdown: 3 },
    } as const;
    directory.observeSignals(target, earlier, signals);
    const before = target.speed.slowdown;
    directory.applyChange({ kind: "target", id, entry: { ...entry, startedAtMs: 2 } });
    directory.observeSignals(target, earlier, signals);
    expect([before, target.speed.slowdown, target.speed.estimate(0).factor, kinds]).toEqual([
        3,
        undefined,
        1,
        ["load-ignored"],
    ]);
});
