import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventSplitter } from "../../src/gateway/eventSplitter.js";

const seed = 20_261_203;

const eventArbitrary = fc
    .record({
        id: fc.option(fc.nat(1_000), { nil: undefined }),
        data: fc.string({ maxLength: 20 }).map(text => text.replace(/[\r\n]/g, " ")),
        lineEnd: fc.constantFrom("\n", "\r\n"),
    })
    .map(({ id, data, lineEnd }) => ({
        id: id === undefined ? undefined : String(id),
        text: `${id === undefined ? "" : `id: ${id}${lineEnd}`}data: ${data}${lineEnd}${lineEnd}`,
    }));

/** Cuts a text into pieces at the given places. */
function createPieces(data: Buffer, places: readonly number[]): readonly Buffer[] {
    const sorted = [...new Set(places.map(place => place % (data.length + 1)))].sort((a, b) => a - b);
    return [0, ...sorted].map((start, index) => data.subarray(start, sorted[index] ?? data.length));
}

describe("a stream's events", () => {
    // Whatever the pieces in which the network delivers a stream, the caller must get each event once, whole and unchanged;
    // what is left behind the last whole event is a fragment that must not go out.
    it("are the same however the stream is cut, and a fragment is held back", () => {
        fc.assert(
            fc.property(
                fc.array(eventArbitrary, { maxLength: 8 }),
                fc.array(fc.nat(400), { maxLength: 12 }),
                fc.constantFrom("", "id: 9", "data: half\n", "\n"),
                (events, places, fragment) => {
                    const whole = events.map(event => event.text).join("");
                    const splitter = new EventSplitter();
                    const got = createPieces(Buffer.from(whole + fragment), places).flatMap(piece => [
                        ...splitter.add(piece),
                    ]);
                    expect(got.map(event => event.bytes.toString()).join("")).toBe(whole);
                    expect(got.map(event => event.id)).toEqual(events.map(event => event.id));
                    expect(splitter.hasFragment).toBe(fragment.length > 0);
                },
            ),
            { seed, numRuns: 300 },
        );
    });
});
