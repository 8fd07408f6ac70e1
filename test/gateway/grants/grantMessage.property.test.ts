import { decode, encode } from "@msgpack/msgpack";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    decodeGrantMessage,
    encodeGrantMessage,
    isGrantDatagram,
    type GrantMessage,
} from "../../../src/gateway/grants/grantMessage.js";
import { encodePeerMessage } from "../../../src/gateway/peers/peerMessage.js";

const count = fc.nat();
/** Below 0 where the owner's allowance is added. */
const limitUsage = fc.integer({ min: -3_000, max: 2_000 }).map(value => value / 1_000);
const hash = fc.integer({ min: 0, max: 0xffffffff });
const part = fc.record({ id: fc.string({ minLength: 1, maxLength: 16 }), tokens: count });
const percent = fc.integer({ min: 10, max: 2_000 }).map(value => value / 100);
const reply = {
    kind: fc.constant("reply" as const),
    grantId: count,
    isTargetKnown: fc.boolean(),
    granted: fc.boolean(),
    newTokens: count,
    queuedTokens: count,
    usage: fc.nat({ max: 5_000 }).map(value => value / 1_000),
    maxUsage: limitUsage,
    retryAfterMs: count,
};
const report = {
    kind: fc.constant("report" as const),
    grantId: count,
    incarnation: count,
    targetHash: hash,
    progress: fc.constantFrom("started" as const, "ended" as const, "not-run" as const),
};
const message: fc.Arbitrary<GrantMessage> = fc.oneof(
    fc.record({
        kind: fc.constant("request" as const),
        grantId: count,
        incarnation: count,
        targetHash: hash,
        sharedParts: fc.array(part, { maxLength: 4 }),
        ownTokens: count,
        copiedTokens: count,
        outputTokens: count,
        accountHash: hash,
        chargedTokens: count,
        maxWaitMs: count,
        maxUsage: limitUsage,
        windowMs: fc.integer({ min: 1, max: 2_000 }),
        isUnconditional: fc.boolean(),
    }),
    fc.record(reply),
    fc.record({ ...reply, speedFactor: percent }),
    fc.record(report),
    fc.record({ ...report, slowdown: percent }),
);
/** Positions of the fraction of the limit that a request may use, on the wire. */
const limitUsagePositions = { request: 11, reply: 7, report: undefined } as const;
/** In thousandths. */
const lowestLimitUsage = -3_000;
const runs = { seed: 5, numRuns: 300 };

describe("messages about grants", () => {
    it("decode to what was encoded, and are distinguished from peer messages", () => {
        fc.assert(
            fc.property(message, sent => {
                const data = encodeGrantMessage(sent);
                expect([isGrantDatagram(data), decodeGrantMessage(data)._unsafeUnwrap()]).toEqual([true, sent]);
            }),
            runs,
        );
        const peerMessage = encodePeerMessage({
            routerId: "router-2",
            incarnation: 1,
            sequence: 1,
            ip: "10.0.0.2",
            periodMs: 100,
            targets: [],
            coveredMs: 0,
            accounts: new Map(),
            reads: [],
            peers: [],
            leaving: [],
            condition: { dataCentre: "dc-a", processorShare: 1, utilization: 0, isWithdrawn: false },
            canRelay: true,
        });
        expect(isGrantDatagram(peerMessage)).toBe(false);
    });

    // Codes and counts must be non-negative integers, and flags must be booleans. Fractions of the limit may be negative, down to -3.
    it("with a value of a wrong type, an extra entry or a missing one are an error", () => {
        const isRejected = (sent: GrantMessage, change: (wire: unknown[]) => void): boolean => {
            const wire = decode(encodeGrantMessage(sent)) as unknown[];
            change(wire);
            return decodeGrantMessage(encode(wire)).isErr();
        };
        const wrong = [undefined, "7", {}, new Uint8Array(1), -1, 0.5, Number.NaN, 2 ** 60, [7, "aa"], ["", 1], ["aa"]];
        const wrongParts = [["a".repeat(65), 1], ["aa", -1], ["aa", 0.5], Array(34).fill(["aa", 1]).flat()];
        fc.assert(
            fc.property(message, fc.nat(), fc.constantFrom(...wrong), (sent, position, value) => {
                expect([
                    isRejected(sent, wire => {
                        const index = position % wire.length;
                        const isLimitUsage = index === limitUsagePositions[sent.kind];
                        wire[index] = value === -1 && isLimitUsage ? lowestLimitUsage - 1 : value;
                    }),
                    isRejected(sent, wire => wire.push(wire[1])),
                    isRejected(sent, wire => wire.pop()),
                ]).toEqual([true, true, true]);
            }),
            { ...runs, numRuns: 2_000 },
        );
        fc.assert(
            fc.property(message, fc.constantFrom(...wrongParts), (sent, parts) => {
                fc.pre(sent.kind === "request");
                expect(
                    isRejected(sent, wire => {
                        wire[4] = parts;
                    }),
                ).toBe(true);
            }),
            runs,
        );
        fc.assert(
            fc.property(message, sent => {
                fc.pre(sent.kind === "report");
                expect(
                    isRejected(sent, wire => {
                        wire[4] = 3;
                    }),
                ).toBe(true);
            }),
            runs,
        );
    });

    // A datagram can hold anything: truncated, corrupted, or of a later version.
    it("that can't be decoded are an error and never throw", () => {
        const changed = fc
            .tuple(message, fc.nat(), fc.nat({ max: 255 }), fc.boolean())
            .map(([sent, position, byte, isTruncated]) => {
                const data = Buffer.from(encodeGrantMessage(sent));
                data[position % data.length] = byte;
                return isTruncated ? data.subarray(0, position % data.length) : data;
            });
        fc.assert(
            fc.property(fc.oneof(changed, fc.uint8Array({ maxLength: 200 })), data => {
                const decoded = decodeGrantMessage(data);
                expect(decoded.isOk() ? decoded.value.kind : decoded.error.code).toMatch(
                    /^(request|reply|report|grant-message-invalid)$/,
                );
            }),
            runs,
        );
    });

    // Routers of the previous version drop the longer forms; without a slowdown or speed the former ones must be sent.
    it("have the former layout without a slowdown or speed factor", () => {
        fc.assert(
            fc.property(message, sent => {
                const wire = decode(encodeGrantMessage(sent)) as unknown[];
                const isLonger = "speedFactor" in sent || "slowdown" in sent;
                const former = { request: [17, 14], reply: [18, 9], report: [19, 5] }[sent.kind];
                const longer = { request: [], reply: [21, 10], report: [20, 6] }[sent.kind];
                expect([wire[0], wire.length]).toEqual(isLonger ? longer : former);
            }),
            runs,
        );
    });

    // An absurd speed would make an engine receive all prompts, or none.
    it("with a slowdown or speed factor out of bounds are an error", () => {
        const absurd = fc.oneof(fc.nat({ max: 9 }), fc.integer({ min: 2_001 }), fc.double(), fc.string());
        fc.assert(
            fc.property(
                fc.oneof(fc.record({ ...reply, speedFactor: percent }), fc.record({ ...report, slowdown: percent })),
                absurd,
                (sent, value) => {
                    fc.pre(!Number.isInteger(value) || (value as number) < 10 || (value as number) > 2_000);
                    const wire = decode(encodeGrantMessage(sent)) as unknown[];
                    expect(decodeGrantMessage(encode([...wire.slice(0, -1), value])).isErr()).toBe(true);
                },
            ),
            runs,
        );
    });
});
