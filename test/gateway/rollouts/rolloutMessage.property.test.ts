import fc from "fast-check";
import { expect, it } from "vitest";
import {
    decodeRolloutMessage,
    encodeRolloutMessage,
    isRolloutDatagram,
    type RolloutMessage,
} from "../../../src/gateway/rollouts/rolloutMessage.js";

const seed = 20_261_204;
const counts = fc.record({ requests: fc.nat(), failures: fc.nat(), timed: fc.nat(), slow: fc.nat() });
const name = fc.string({ minLength: 1, maxLength: 30 });
const messageArbitrary: fc.Arbitrary<RolloutMessage> = fc.record({
    incarnation: fc.nat(),
    service: name,
    version: name,
    ageMs: fc.nat(),
    step: fc.constantFrom("canary", "watch", "ramp", "switch"),
    baselineRunning: fc.nat(),
    isBad: fc.boolean(),
    evidence: fc.record({
        routes: fc.array(fc.record({ route: name, candidate: counts, baseline: counts }), { maxLength: 10 }),
        disconnects: fc.array(fc.record({ targetHash: fc.nat(0xffffffff), disconnects: fc.nat() }), { maxLength: 10 }),
    }),
});

it("a decoded report equals the encoded one", () => {
    fc.assert(
        fc.property(messageArbitrary, message => {
            const data = encodeRolloutMessage(message);
            expect(isRolloutDatagram(data)).toBe(true);
            expect(decodeRolloutMessage(data)._unsafeUnwrap()).toEqual(message);
        }),
        { seed, numRuns: 200 },
    );
});

// No datagram that arrives on the port may crash a router.
it("arbitrary bytes are decoded without throwing", () => {
    fc.assert(
        fc.property(fc.uint8Array({ maxLength: 200 }), data => {
            const decoded = decodeRolloutMessage(data);
            expect(decoded.isErr() || decoded.isOk()).toBe(true);
        }),
        { seed, numRuns: 300 },
    );
});
