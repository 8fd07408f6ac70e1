import fc from "fast-check";
import { expect, it } from "vitest";
import { BlockBuffer } from "../../src/base/blockBuffer.js";

it("holds the bytes of all pieces in their order", () => {
    const sizes = fc.array(fc.oneof(fc.integer({ min: 0, max: 20 }), fc.integer({ min: 4_000, max: 70_000 })));
    fc.assert(
        fc.property(sizes, lengths => {
            const pieces = lengths.map((length, index) => Buffer.alloc(length, index));
            const body = new BlockBuffer();
            pieces.forEach(piece => body.add(piece));
            const whole = Buffer.concat(pieces);
            expect(body.length).toBe(whole.length);
            expect(body.take().equals(whole)).toBe(true);
            expect(body.length).toBe(0);
        }),
        { seed: 3, numRuns: 200 },
    );
});

// Guards against memory by the piece: a million pieces of one byte took some 250 MB.
it("takes about the memory of its bytes, however small the pieces are", () => {
    const pieceCount = 1_000_000;
    const piece = Buffer.from("x");
    const body = new BlockBuffer();
    const { arrayBuffers: before } = process.memoryUsage();
    for (let index = 0; index < pieceCount; index++) {
        body.add(piece);
    }
    expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(2 * pieceCount);
    expect(body.length).toBe(pieceCount);
});
