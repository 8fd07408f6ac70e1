import fc from "fast-check";
import { expect, it } from "vitest";
import { decodeCrashMessage, encodeCrashMessage, isCrashDatagram } from "../../src/gateway/quarantine/crashMessage.js";

const digest = fc.stringMatching(/^[0-9a-f]{32}$/);
const hash = fc.integer({ min: 0, max: 0xffffffff });
const weight = fc.constantFrom(0.5, 1);

it("decodes reports of crashes to what was encoded", () => {
    const evidence = fc.array(fc.record({ digest, prefixHash: hash, incarnation: hash, weight }), { maxLength: 40 });
    fc.assert(
        fc.property(evidence, fc.array(digest, { maxLength: 40 }), (entries, cleared) => {
            const data = encodeCrashMessage({ evidence: entries, cleared });
            expect(isCrashDatagram(data)).toBe(true);
            expect(decodeCrashMessage(data)._unsafeUnwrap()).toEqual({ evidence: entries, cleared });
        }),
    );
});

it("rejects any other bytes", () => {
    fc.assert(
        fc.property(fc.uint8Array({ maxLength: 60 }), data => {
            expect(decodeCrashMessage(data).isErr()).toBe(true);
        }),
    );
});
