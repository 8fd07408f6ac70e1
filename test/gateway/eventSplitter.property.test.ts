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

/** Splits data into chunks at the given offsets. */
function createChunks(data: Buffer, offsets: readonly number[]): readonly Buffer[] {
    const sorted = [...new Set(offsets.map(offset => offset % (data.length + 1)))].sort((a, b) => a - b);
    return [0, ...sorted].map((start, index) => data.subarray(start, sorted[index] ?? data.length));
}

describe("a stream's events", () => {
    // However the network splits a stream into chunks, the caller must receive each event once, complete and unchanged.
    // The data after the last complete event is a fragment that must not be relayed.
    it("are the same however the stream is split into chunks, and a fragment is retained", () => {
        fc.assert(
            fc.property(
                fc.array(eventArbitrary, { maxLength: 8 }),
                fc.array(fc.nat(400), { maxLength: 12 }),
                fc.constantFrom("", "id: 9", "data: half\n", "\n"),
                (events, offsets, fragment) => {
                    const complete = events.map(event => event.text).join("");
                    const splitter = new EventSplitter();
                    const received = createChunks(Buffer.from(complete + fragment), offsets).flatMap(chunk => [
                        ...splitter.add(chunk),
                    ]);
                    expect(received.map(event => event.bytes.toString()).join("")).toBe(complete);
                    expect(received.map(event => event.id)).toEqual(events.map(event => event.id));
                    expect(splitter.hasFragment).toBe(fragment.length > 0);
                },
            ),
            { seed, numRuns: 300 },
        );
    });
});
