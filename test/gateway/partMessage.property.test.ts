import fc from "fast-check";
import { expect, it } from "vitest";
import { decodePartMessage, encodePartMessage, isPartDatagram } from "../../src/gateway/quarantine/partMessage.js";

const service = fc.string({ maxLength: 20 });
const parts = fc.array(fc.string({ minLength: 1, maxLength: 64 }), { maxLength: 8 });
const entries = fc.array(fc.record({ service, parts }), { maxLength: 8 });
const evidence = fc.array(
    fc.record({
        service,
        parts,
        incarnation: fc.integer({ min: 0, max: 0xffffffff }),
        weight: fc.constantFrom(0.25, 1, 3),
    }),
    { maxLength: 8 },
);

it("decodes reports on prompt parts to what was encoded", () => {
    fc.assert(
        fc.property(fc.record({ evidence, cleared: entries, released: entries }), message => {
            const data = encodePartMessage(message);
            expect(isPartDatagram(data)).toBe(true);
            expect(decodePartMessage(data)._unsafeUnwrap()).toEqual(message);
        }),
    );
});

it("rejects any other bytes", () => {
    fc.assert(
        fc.property(fc.uint8Array({ maxLength: 60 }), data => {
            expect(decodePartMessage(data).isErr()).toBe(true);
        }),
    );
});
