import { describe, expect, it } from "vitest";
import type { KeyAuthority } from "../../src/fleet/keys/keyOwnerAuthority.js";
import { issuedKeyPrefix, signIssuedKey, verifyIssuedKey } from "../../src/fleet/keys/issuedKey.js";
import { KeyTable } from "../../src/fleet/keys/keyTable.js";
import { defaultKeyTiming } from "../../src/fleet/keys/keyTiming.js";
import { canHaveStartedBefore } from "../../src/fleet/keys/takeover.js";
import type { KeyUse } from "../../src/fleet/keys/keyUse.js";

const claims = {
    agentId: "agent-t1",
    incarnation: 7,
    service: "registration",
    clientAccount: "club",
    expiresAtMs: 1_800_000_000_000,
    nonce: "n1",
};

describe("issued keys", () => {
    it("are accepted only with an unchanged payload and a valid signature", () => {
        const key = signIssuedKey("secret", claims);
        const [, payload, mac] = key.split(".");
        const forged = Buffer.from(JSON.stringify({ ...claims, clientAccount: "department" })).toString("base64url");
        const other = signIssuedKey("another secret", claims);
        const candidates = [
            key,
            other,
            `${issuedKeyPrefix}${forged}.${mac}`,
            `${key}=`,
            `${issuedKeyPrefix}${payload}`,
        ];
        const outcomes = [...candidates, issuedKeyPrefix, "x".repeat(600)].map(candidate =>
            verifyIssuedKey("secret", candidate).match(
                read => `${read.clientAccount} at ${read.agentId}/${read.incarnation}`,
                error => error.problem,
            ),
        );
        expect(outcomes).toMatchInlineSnapshot(`
          [
            "club at agent-t1/7",
            "signature",
            "signature",
            "malformed",
            "malformed",
            "malformed",
            "malformed",
          ]
        `);
    });
});

describe("KeyTable", () => {
    const permissiveAuthority: KeyAuthority = { check: () => ({ type: "new" }) };
    const use = (key: string, clientAccount = "club", requestDigest = "body"): KeyUse => ({
        clientAccount,
        service: "registration",
        key,
        requestDigest,
        requestId: `request for ${key}`,
    });

    // One account sends a burst of new keys. Keys of other accounts must still be accepted, and a full table must
    // refuse new keys until the retention of an old one has passed. A key removed earlier would run again when its
    // request is repeated.
    it("refuses new keys when full and removes none before its retention has passed", () => {
        const limits = {
            maxEntries: 4,
            maxEntriesPerAccount: 3,
            maxAnswerBytes: 100,
            retentionMs: 1_000,
            delegationMs: 500,
        };
        const table = new KeyTable(permissiveAuthority, limits);
        const log: string[] = [];
        const send = (key: string, nowMs: number, account?: string, digest?: string): void => {
            const decision = table.resolve(use(key, account, digest), { nowMs, wallMs: nowMs });
            if (decision.type === "run") {
                table.start(decision.keyHash, { nowMs, wallMs: nowMs });
                const outcome = { type: "completed", answerReference: `response to ${key}`, answerBytes: 60 } as const;
                table.close(decision.keyHash, outcome, nowMs);
            }
            const reason =
                decision.type === "refuse" ? ` ${decision.refusal.reason} ${decision.refusal.execution}` : "";
            log.push(`${nowMs} ${key}: ${decision.type}${reason}`);
        };
        ["a", "b", "c", "d"].forEach((key, index) => send(key, index * 100));
        ["e", "f"].forEach(key => send(key, 400, "department"));
        send("a", 500);
        send("b", 500);
        send("a", 500, "club", "another body");
        expect(table.advance(999)).toEqual([]);
        expect(table.nextTickAtMs()).toBe(1_000);
        expect(table.advance(1_050)).toEqual(["response to a"]);
        send("d", 1_050);
        expect(log).toMatchInlineSnapshot(`
          [
            "0 a: run",
            "100 b: run",
            "200 c: run",
            "300 d: refuse account-queue-full not-run",
            "400 e: run",
            "400 f: refuse queue-full not-run",
            "500 a: replay",
            "500 b: refuse duplicate ran",
            "500 a: refuse duplicate unknown",
            "1050 d: run",
          ]
        `);
    });
});

describe("takeover", () => {
    // A caller whose clock is 28 s ahead creates a key 9 s after a takeover, and the earlier owner starts it within its
    // lease. The new owner must not treat the key as created after the takeover, as it would start it again.
    it("treats a dated key as new only after the earlier owner's lease plus the maximum clock skew", () => {
        const takeoverMs = 1_800_000_000_000;
        const services = ["registration"];
        const earlierTenure = {
            agentId: "agent-1",
            incarnation: 1,
            services,
            registeredAtMs: takeoverMs - 60_000,
            endedAtMs: takeoverMs,
        };
        const own = { agentId: "agent-1", incarnation: 2, services, registeredAtMs: takeoverMs, endedAtMs: undefined };
        const history = { tenures: [earlierTenure, own], completeSinceMs: undefined };
        const check = (keyTimeMs: number): boolean =>
            canHaveStartedBefore(
                history,
                own,
                { service: "registration", keyHash: "k", keyTimeMs },
                takeoverMs + 50_000,
                defaultKeyTiming,
            );
        expect([37_000, 40_000, 40_001].map(afterMs => check(takeoverMs + afterMs))).toEqual([true, true, false]);
    });
});
