import { encode } from "@msgpack/msgpack";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { isGrantDatagram } from "../../../src/gateway/grants/grantMessage.js";
import { encodePeerMessage, type PeerMessage } from "../../../src/gateway/peers/peerMessage.js";
import { decodeRelayEnvelope, encodeRelayEnvelope, isRelayEnvelope } from "../../../src/gateway/peers/relayEnvelope.js";
import { isTotalsDatagram } from "../../../src/gateway/peers/totalsMessage.js";
import { isCrashDatagram } from "../../../src/gateway/quarantine/crashMessage.js";
import { isPartDatagram } from "../../../src/gateway/quarantine/partMessage.js";
import { isRolloutDatagram } from "../../../src/gateway/rollouts/rolloutMessage.js";
import { isStreamVersionDatagram } from "../../../src/gateway/streams/streamVersionMessage.js";

/** Kinds of datagrams that are checked for before envelopes. */
const otherKinds = [
    isGrantDatagram,
    isCrashDatagram,
    isPartDatagram,
    isTotalsDatagram,
    isRolloutDatagram,
    isStreamVersionDatagram,
];
const runs = { seed: 5, numRuns: 300 };
const message = fc.record({
    routerId: fc.string({ minLength: 1 }),
    ip: fc.string({ minLength: 1 }),
    sequence: fc.nat(),
});
const envelopeCode = 97;

function createMessage(changes: Pick<PeerMessage, "routerId" | "ip" | "sequence">): PeerMessage {
    return {
        incarnation: 1,
        periodMs: 100,
        targets: [{ targetHash: 41, waitingTokens: 500, running: 2, writtenTokens: 300 }],
        coveredMs: 4_000,
        accounts: new Map([["north", { asked: 10, served: 5, recentlyServed: 2 }]]),
        reads: [],
        peers: [],
        leaving: [],
        condition: { dataCentre: "dc-a", processorShare: 0.5, utilization: 0.5, isWithdrawn: false },
        canRelay: true,
        ...changes,
    };
}

describe("envelopes of relayed messages", () => {
    // A relay forwards these bytes: they must be those of the origin, and no datagram of another kind may be taken for an envelope.
    it("hold the message as it was encoded", () => {
        fc.assert(
            fc.property(message.map(createMessage), sent => {
                const data = encodePeerMessage(sent);
                const envelope = encodeRelayEnvelope(data);
                const decoded = decodeRelayEnvelope(envelope)._unsafeUnwrap();
                expect(decoded.message).toEqual(sent);
                expect(Buffer.from(decoded.data).equals(data)).toBe(true);
                expect(otherKinds.filter(isKind => isKind(envelope))).toEqual([]);
                expect([isRelayEnvelope(envelope), isRelayEnvelope(data)]).toEqual([true, false]);
            }),
            runs,
        );
    });

    // A datagram can hold anything. A malformed envelope must neither end the process nor be forwarded.
    it("that are malformed are an error and never throw", () => {
        const changed = fc
            .tuple(message.map(createMessage), fc.nat(), fc.nat({ max: 255 }), fc.boolean())
            .map(([sent, position, byte, isTruncated]) => {
                const data = Buffer.from(encodeRelayEnvelope(encodePeerMessage(sent)));
                data[position % data.length] = byte;
                return isTruncated ? data.subarray(0, position % data.length) : data;
            });
        const nested = encodeRelayEnvelope(encodePeerMessage(createMessage({ routerId: "a", ip: "b", sequence: 1 })));
        const malformed = [
            [],
            [nested],
            [98, nested],
            [envelopeCode, nested],
            [envelopeCode, "text"],
            { 0: envelopeCode },
        ];
        expect(malformed.map(wire => decodeRelayEnvelope(encode(wire)).isErr())).toEqual(malformed.map(() => true));
        fc.assert(
            fc.property(fc.oneof(changed, fc.uint8Array({ maxLength: 200 })), data => {
                const decoded = decodeRelayEnvelope(data);
                expect(decoded.isOk() ? "ok" : decoded.error.code).toMatch(/^(ok|relay-envelope-invalid)$/);
            }),
            runs,
        );
    });
});
