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
    it("are read back only as they were signed", () => {
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
    const always: KeyAuthority = { check: () => ({ type: "new" }) };
    const use = (key: string, clientAccount = "club", requestDigest = "body"): KeyUse => ({
        clientAccount,
        service: "registration",
        key,
        requestDigest,
        requestId: `request for ${key}`,
    });

    // One account floods the home with new keys: the others' keys are still taken, and when the table is full, new keys
    // are turned away until old ones have passed their retention. No young key makes room, as its repeat would run again.
    it("turns new keys away when full and never forgets a young one", () => {
        const limits = {
            maxEntries: 4,
            maxEntriesPerAccount: 3,
            maxAnswerBytes: 100,
            retentionMs: 1_000,
            delegationMs: 500,
        };
        const table = new KeyTable(always, limits);
        const seen: string[] = [];
        const send = (key: string, nowMs: number, account?: string, digest?: string): void => {
            const decision = table.resolve(use(key, account, digest), { nowMs, wallMs: nowMs });
            if (decision.type === "run") {
                table.start(decision.keyHash, { nowMs, wallMs: nowMs });
                const answer = { type: "completed", answerReference: `answer to ${key}`, answerBytes: 60 } as const;
                table.close(decision.keyHash, answer, nowMs);
            }
            const why = decision.type === "refuse" ? ` ${decision.refusal.reason} ${decision.refusal.execution}` : "";
            seen.push(`${nowMs} ${key}: ${decision.type}${why}`);
        };
        ["a", "b", "c", "d"].forEach((key, index) => send(key, index * 100));
        ["e", "f"].forEach(key => send(key, 400, "department"));
        send("a", 500);
        send("b", 500);
        send("a", 500, "club", "another body");
        expect(table.advance(999)).toEqual([]);
        expect(table.nextTickAtMs()).toBe(1_000);
        expect(table.advance(1_050)).toEqual(["answer to a"]);
        send("d", 1_050);
        expect(seen).toMatchInlineSnapshot(`
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
    // A caller whose clock is 28 s ahead makes a key 9 s after a takeover. The earlier home, within its lease, starts it;
    // the new home takes it for one that was made after the takeover, and starts it again.
    it("takes a dated key for new only beyond the earlier home's lease and the clock bound", () => {
        const takeoverMs = 1_800_000_000_000;
        const services = ["registration"];
        const before = {
            agentId: "agent-1",
            incarnation: 1,
            services,
            registeredAtMs: takeoverMs - 60_000,
            endedAtMs: takeoverMs,
        };
        const own = { agentId: "agent-1", incarnation: 2, services, registeredAtMs: takeoverMs, endedAtMs: undefined };
        const history = { tenures: [before, own], completeSinceMs: undefined };
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
