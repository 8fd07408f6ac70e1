import { describe, expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { hashFast } from "../../../src/base/hash.js";
import { NoopLogger } from "../../../src/base/log.js";
import { SeededRandom } from "../../../src/base/random.js";
import { PrefillShare } from "../../../src/decisions/admission/prefillShare.js";
import { FirstTokenModel } from "../../../src/decisions/placement/firstTokenModel.js";
import type { GatewayConfiguration } from "../../../src/gateway/configuration.js";
import type { GrantReply, GrantRequest } from "../../../src/gateway/grants/grantMessage.js";
import { GrantOwner } from "../../../src/gateway/grants/grantOwner.js";
import type { GrantSettings } from "../../../src/gateway/grants/spareCapacity.js";
import { LazyMap } from "../../../src/gateway/lazyMap.js";
import { NoExpiryGrace } from "../../../src/decisions/health/recordExpiryPolicy.js";
import { TargetDirectory } from "../../../src/gateway/targetDirectory.js";

const id = "engine";
const startedAtMs = 1_700_000_000_000;
const request: GrantRequest = {
    kind: "request",
    grantId: 1,
    incarnation: 1,
    targetHash: hashFast(id),
    sharedParts: [],
    ownTokens: 100,
    copiedTokens: 0,
    outputTokens: 10,
    accountHash: 0,
    chargedTokens: 120,
    maxWaitMs: 100,
    maxUsage: 1,
    windowMs: 400,
    isUnconditional: false,
};

const engine = {
    slots: 8,
    cacheTokens: 10_000,
    tokensPerEvent: 1,
    bytesPerToken: undefined,
    transferBytesPerMs: undefined,
};
const configuration: GatewayConfiguration = {
    version: 1,
    routes: [],
    services: [{ name: "engines", maxConnections: 100, coldStartMs: 0, coldRequestsPerSecond: 0, engine }],
    accounts: [],
    limits: {
        maxHeaderBytes: 1_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
        tokensPerSecond: undefined,
    },
};

interface Setup {
    readonly owner: GrantOwner;
    readonly directory: TargetDirectory;
    readonly clock: ManualClock;
}

function createOwner(settings: GrantSettings = {}): Setup {
    const clock = new ManualClock();
    const directory = new TargetDirectory({
        clock,
        random: new SeededRandom(1),
        logger: new NoopLogger(),
        connectionLimits: { connectTimeoutMs: 1, mostAnswerBytes: 1 },
        expiryPolicy: new NoExpiryGrace(),
    });
    const entry = {
        id,
        service: "engines",
        address: "10.1.0.1:1",
        dataCentre: "a",
        slots: 8,
        coldLeftMs: 0,
        version: "v1",
    };
    directory.applyConfiguration(configuration);
    directory.applyChange({ kind: "target", id, entry: { ...entry, state: "ready", startedAtMs } });
    const firstTokenModels = new LazyMap(() => new FirstTokenModel());
    const prefillShares = new LazyMap(() => new PrefillShare());
    const owner = new GrantOwner({ directory, clock, firstTokenModels, prefillShares, settings });
    return { owner, directory, clock };
}

// The owner has received that the engine is leaving, and the sender of the request has not yet.
it("denies prompts for an engine that is leaving", () => {
    const { owner, directory } = createOwner();
    const before = owner.check("router-2", request);
    directory.applyLeaving([{ targetHash: hashFast(id), startedAtMs }]);
    const after = owner.check("router-2", { ...request, grantId: 2 });
    expect(
        [before, after].map(({ granted, isTargetKnown: isKnown, retryAfterMs }) => ({
            granted,
            isKnown,
            retryAfterMs,
        })),
    ).toMatchInlineSnapshot(`
          [
            {
              "granted": true,
              "isKnown": true,
              "retryAfterMs": 0,
            },
            {
              "granted": false,
              "isKnown": true,
              "retryAfterMs": 4000,
            },
          ]
        `);
});

describe("an owner whose engine is granted little, asked for an account far above the fair level", () => {
    const large = { ...request, ownTokens: 2_000, maxWaitMs: 400 };

    /** A prompt takes a fifth of the limit; then requests of the account arrive every 20 ms for 200 ms. Returns the replies to these. */
    function checkPressing(settings: GrantSettings, maxUsage: number): readonly GrantReply[] {
        const { owner, clock } = createOwner(settings);
        owner.check("router-2", large);
        return Array.from({ length: 11 }, (...[, index]) => {
            clock.advance(20);
            return owner.check("router-2", { ...large, grantId: index + 2, accountHash: 7, maxUsage });
        });
    }

    function checkLast(settings: GrantSettings, maxUsage: number): GrantReply {
        const replies = checkPressing(settings, maxUsage);
        return replies[replies.length - 1];
    }

    it("denies it until the window is over without the setting", () => {
        const { granted, retryAfterMs } = checkLast({}, 0);
        expect([granted, retryAfterMs]).toEqual([false, 180]);
    });

    it("grants it after some time with the setting", () => {
        const granted = checkPressing({ fillsSpareCapacity: true }, -0.1).map(reply => reply.granted);
        expect([granted[0], granted.includes(true)]).toEqual([false, true]);
    });

    // A router compares the fraction in the reply with that of its next requests, and sends it to the next owner. With this engine's
    // allowance in it, the router would deny accounts that have had less, and the next owner would add its own allowance once more.
    it("replies with the fraction without its allowance", () => {
        expect(checkLast({ fillsSpareCapacity: true }, -2).maxUsage).toBe(-2);
    });

    // A router that kept the denial until grants leave the window would not ask for what is free.
    it("denies it for no longer than the allowance needs to rise", () => {
        const { granted, retryAfterMs } = checkLast({ fillsSpareCapacity: true }, -0.6);
        expect(granted).toBe(false);
        expect(retryAfterMs).toBeLessThan(120);
    });

    // A router that sends such fractions may meet an owner whose setting is off.
    it("treats a negative fraction as zero without the setting", () => {
        const { granted, retryAfterMs } = checkLast({}, -2);
        expect([granted, retryAfterMs]).toEqual([false, 180]);
    });

    it("reports the allowance and the granted fraction", () => {
        const { owner, clock } = createOwner({ fillsSpareCapacity: true });
        const none = owner.computeSpareCapacity();
        owner.check("router-2", large);
        const one = owner.computeSpareCapacity();
        clock.advance(60_000);
        expect([none, one, owner.computeSpareCapacity()]).toEqual([
            undefined,
            { engines: 1, allowance: 0, limitUsage: expect.closeTo(0.208, 2) as number },
            undefined,
        ]);
    });
});

describe("an owner that limits the engine's memory", () => {
    const half = { ...request, ownTokens: 4_000, outputTokens: 500, maxUsage: 1.5, maxWaitMs: 10_000, windowMs: 2_000 };

    /** Grants of three requests that take half of the memory each, and of a fourth one after the given time. */
    function checkFour(afterMs: number, reports: readonly number[], settings: GrantSettings): readonly boolean[] {
        const { owner, clock } = createOwner(settings);
        const granted = [1, 2, 3].map(grantId => owner.check("router-2", { ...half, grantId }).granted);
        clock.advance(afterMs);
        for (const grantId of reports) {
            const { incarnation, targetHash } = request;
            owner.applyReport("router-2", { kind: "report", grantId, incarnation, targetHash, progress: "ended" });
        }
        return [...granted, owner.check("router-2", { ...half, grantId: 4 }).granted];
    }

    it("grants what fits, and more after an end", () => {
        const limits = { limitsEngineMemory: true };
        expect([checkFour(2_000, [], limits), checkFour(2_000, [1], limits), checkFour(2_000, [], {})]).toEqual([
            [true, true, false, false],
            [true, true, false, true],
            [true, true, true, true],
        ]);
    });

    // The router that holds the grants was killed. The engine would never be used again.
    it("grants again after 20 s if ends are never reported", () => {
        expect(checkFour(20_000, [], { limitsEngineMemory: true })).toEqual([true, true, false, true]);
    });
});
