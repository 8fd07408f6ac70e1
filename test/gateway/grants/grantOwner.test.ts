import { expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { hashFast } from "../../../src/base/hash.js";
import { NoopLogger } from "../../../src/base/log.js";
import { SeededRandom } from "../../../src/base/random.js";
import { PrefillShare } from "../../../src/decisions/admission/prefillShare.js";
import { FirstTokenModel } from "../../../src/decisions/placement/firstTokenModel.js";
import type { GrantRequest } from "../../../src/gateway/grants/grantMessage.js";
import { GrantOwner } from "../../../src/gateway/grants/grantOwner.js";
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

// The owner has received that the engine is leaving, and the sender of the request has not yet.
it("denies prompts for an engine that is leaving", () => {
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
    directory.applyChange({ kind: "target", id, entry: { ...entry, state: "ready", startedAtMs } });
    const firstTokenModels = new LazyMap(() => new FirstTokenModel());
    const prefillShares = new LazyMap(() => new PrefillShare());
    const owner = new GrantOwner({ directory, clock, firstTokenModels, prefillShares });
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
