import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { decodeGrantMessage, isGrantDatagram } from "../../../src/gateway/grants/grantMessage.js";
import {
    decodeTotalsMessage,
    encodeTotalsMessage,
    isTotalsDatagram,
    type TotalsMessage,
} from "../../../src/gateway/peers/totalsMessage.js";

const amount = fc.nat();
const usage = fc.record({ asked: amount, served: amount, recentlyServed: amount });
const message: fc.Arbitrary<TotalsMessage> = fc.record({
    scope: fc.constantFrom("router" as const, "data-centre" as const, "fleet" as const),
    totals: fc.record({
        members: fc.array(fc.record({ routerHash: fc.integer({ min: 0, max: 0xffffffff }), sequence: amount })),
        ageMs: amount,
        coveredMs: amount,
        accounts: fc
            .uniqueArray(fc.tuple(fc.string({ minLength: 1, maxLength: 16 }), usage), {
                selector: ([account]) => account,
            })
            .map(rows => new Map(rows)),
    }),
});
const runs = { seed: 5, numRuns: 300 };

describe("a message with totals of accounts", () => {
    it("decodes to what was encoded, and is not taken for a grant message", () => {
        fc.assert(
            fc.property(message, sent => {
                const data = encodeTotalsMessage(sent);
                expect(decodeTotalsMessage(data)._unsafeUnwrap()).toEqual(sent);
                expect([isTotalsDatagram(data), isGrantDatagram(data)]).toEqual([true, false]);
                expect(decodeGrantMessage(data).isErr()).toBe(true);
            }),
            runs,
        );
    });

    // Any sender that reaches the port can have its datagrams decoded.
    it("that is truncated is an error, and a corrupted one never throws", () => {
        fc.assert(
            fc.property(message, fc.nat(), fc.nat({ max: 255 }), (sent, position, byte) => {
                const data = encodeTotalsMessage(sent);
                const changed = Uint8Array.from(data);
                changed[position % data.length] = byte;
                decodeTotalsMessage(changed);
                expect(decodeTotalsMessage(data.subarray(0, position % data.length)).isErr()).toBe(true);
            }),
            runs,
        );
    });
});
