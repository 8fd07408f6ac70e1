import fc from "fast-check";
import { expect, it } from "vitest";
import { RequestBoundary } from "../../src/http/requestBoundary.js";

/** Ends of heads in a text: of empty lines with something else than line breaks before them. */
function listEnds(text: string): readonly number[] {
    const ends: number[] = [];
    for (let end = 1; end <= text.length; end++) {
        const head = text.slice(ends.at(-1) ?? 0, end);
        if (head.includes("a") && (head.endsWith("\n\n") || head.endsWith("\n\r\n"))) {
            ends.push(end);
        }
    }
    return ends;
}

/** The parts of a text that are parsed at once, as their starts and ends. */
function listParts(pieces: readonly string[]): readonly (readonly [start: number, end: number])[] {
    const boundary = new RequestBoundary();
    const parts: [number, number][] = [];
    let position = 0;
    for (const piece of pieces) {
        let rest = Buffer.from(piece);
        while (rest.length > 0) {
            const end = boundary.findEnd(rest);
            const part = rest.subarray(0, end ?? rest.length);
            if (end === undefined) {
                boundary.advance(part);
            } else {
                boundary.clear();
            }
            parts.push([position, position + part.length]);
            position += part.length;
            rest = rest.subarray(part.length);
        }
    }
    return parts;
}

// Guards against two heads in one part, which would be two requests at once.
it("nothing but line breaks follows the end of a head in a part, wherever the text is cut", () => {
    const pieces = fc.array(fc.string({ unit: fc.constantFrom("\r", "\n", "a"), minLength: 1, maxLength: 9 }));
    fc.assert(
        fc.property(pieces, cut => {
            const text = cut.join("");
            const ends = listEnds(text);
            for (const [start, end] of listParts(cut)) {
                const behind = ends.filter(at => at > start && at < end).map(at => text.slice(at, end));
                expect(behind.filter(rest => rest.includes("a"))).toEqual([]);
            }
        }),
        { seed: 4, numRuns: 5_000 },
    );
});
