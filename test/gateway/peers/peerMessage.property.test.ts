import { decode, encode } from "@msgpack/msgpack";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { decodePeerMessage, encodePeerMessage, type PeerMessage } from "../../../src/gateway/peers/peerMessage.js";

const amount = fc.nat();
const name = fc.string({ minLength: 1, maxLength: 16 });
const hash = fc.integer({ min: 0, max: 0xffffffff });
const fraction = fc.nat({ max: 1_000 }).map(value => value / 1_000);
const usage = fc.record({ asked: amount, served: amount, recentlyServed: amount });
const rows = { minLength: 1, maxLength: 4 };
const message: fc.Arbitrary<PeerMessage> = fc.record({
    routerId: name,
    incarnation: amount,
    sequence: amount,
    ip: name,
    periodMs: amount,
    targets: fc.array(
        fc.record({ targetHash: hash, waitingTokens: amount, running: amount, writtenTokens: amount }),
        rows,
    ),
    coveredMs: amount,
    accounts: fc
        .uniqueArray(fc.tuple(name, usage), { ...rows, selector: ([account]) => account })
        .map(all => new Map(all)),
    reads: fc.array(fc.record({ targetHash: hash, partId: fc.string({ maxLength: 16 }), tokens: amount }), rows),
    peers: fc.array(fc.record({ routerId: fc.string(), ip: fc.string() }), rows),
    leaving: fc.array(fc.record({ targetHash: hash, startedAtMs: amount }), rows),
    condition: fc.record({
        dataCentre: fc.string(),
        processorShare: fraction,
        utilization: fraction,
        isWithdrawn: fc.boolean(),
    }),
    canRelay: fc.boolean(),
});
const runs = { seed: 5, numRuns: 300 };

/** Entries of the message that hold lists. */
const lists = [5, 7, 8, 9, 10, 11];
/** Entries that may not be negative. */
const amounts = [4, 5, 6, 7, 8, 11];
/** Entry whose numbers are whole: the parts that targets read. */
const partsEntry = 8;
/** Entries that may not be empty. */
const names = [0, 3];

function isRejected(sent: PeerMessage, change: (wire: unknown[]) => void): boolean {
    const wire = decode(encodePeerMessage(sent)) as unknown[];
    change(wire);
    return decodePeerMessage(encode(wire)).isErr();
}

/** Values of a type or range that is invalid in the place of `value`. */
function listWrong(value: unknown, entry: number): readonly unknown[] {
    const others = [undefined, [], {}, new Uint8Array(1), Number.NaN, Number.POSITIVE_INFINITY];
    switch (typeof value) {
        case "number":
            return [
                ...others,
                "7",
                true,
                ...(amounts.includes(entry) ? [-1, -0.5] : []),
                ...(entry === partsEntry ? [1.5, 1e300] : []),
            ];
        case "string":
            return [...others, 7, true, ...(names.includes(entry) ? [""] : [])];
        default:
            return [...others, 7, "true"];
    }
}

describe("messages between routers", () => {
    it("decode to what was encoded", () => {
        fc.assert(
            fc.property(message, sent => {
                expect(decodePeerMessage(encodePeerMessage(sent))._unsafeUnwrap()).toEqual(sent);
            }),
            runs,
        );
    });

    // A single accepted value of a wrong type would turn the totals of all accounts into NaN.
    it("with a value of a wrong type are an error", () => {
        fc.assert(
            fc.property(message, fc.nat({ max: 11 }), fc.nat(), fc.nat(), (sent, entry, cell, choice) => {
                const isError = isRejected(sent, wire => {
                    const [holder, key] = lists.includes(entry)
                        ? [wire[entry] as unknown[], cell % (wire[entry] as unknown[]).length]
                        : [wire, entry];
                    const wrong = listWrong(holder[key], entry);
                    holder[key] = wrong[choice % wrong.length];
                });
                expect(isError).toBe(true);
            }),
            { ...runs, numRuns: 2_000 },
        );
    });

    it("with an incomplete row, an extra entry or a missing one are an error", () => {
        fc.assert(
            fc.property(message, fc.constantFrom(...lists), fc.boolean(), (sent, entry, isLonger) => {
                const updateLength = (values: unknown[]): void => {
                    if (isLonger) {
                        values.push(values[0]);
                    } else {
                        values.pop();
                    }
                };
                expect([
                    isRejected(sent, updateLength),
                    isRejected(sent, wire => updateLength(wire[entry] as unknown[])),
                    isRejected(sent, wire => {
                        wire[entry] = isLonger ? {} : "";
                    }),
                ]).toEqual([true, true, true]);
            }),
            runs,
        );
    });

    // A datagram can hold anything: truncated, or corrupted.
    it("that can't be decoded are an error and never throw", () => {
        const changed = fc
            .tuple(message, fc.nat(), fc.nat({ max: 255 }), fc.boolean())
            .map(([sent, position, byte, isTruncated]) => {
                const data = Buffer.from(encodePeerMessage(sent));
                data[position % data.length] = byte;
                return isTruncated ? data.subarray(0, position % data.length) : data;
            });
        fc.assert(
            fc.property(fc.oneof(changed, fc.uint8Array({ maxLength: 200 })), data => {
                const decoded = decodePeerMessage(data);
                expect(decoded.isOk() ? "ok" : decoded.error.code).toMatch(/^(ok|peer-message-invalid)$/);
            }),
            runs,
        );
    });
});
