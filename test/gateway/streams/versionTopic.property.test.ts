import fc from "fast-check";
import { expect, it } from "vitest";
import { decodeVersionRecord, encodeVersionRecord } from "../../../platform/versionTopic.js";

const date = fc.date({ min: new Date(0), max: new Date("9999-01-01"), noInvalidDate: true });
const record = fc.record({
    service: fc.constant("engines"),
    observedFrom: date,
    isFirst: fc.boolean(),
    versions: fc.array(
        fc.record({ version: fc.string({ maxLength: 128 }), lastSeen: fc.option(date, { nil: undefined }) }),
        { maxLength: 16 },
    ),
});

it("decodes records of versions to what was encoded", () => {
    fc.assert(
        fc.property(record, sent => {
            expect(decodeVersionRecord("engines", encodeVersionRecord(sent))._unsafeUnwrap()).toEqual(sent);
        }),
    );
});

// A record is stored by one build and read by another one.
it("encodes a record as documented", () => {
    const versions = [
        { version: "v1", lastSeen: new Date("2026-01-02T00:00:00Z") },
        { version: "v2", lastSeen: undefined },
    ];
    const observedFrom = new Date("2026-01-01T00:00:00Z");
    const encoded = encodeVersionRecord({ service: "engines", observedFrom, isFirst: true, versions });
    expect(encoded.toString()).toMatchInlineSnapshot(
        `"{"observed_from":"2026-01-01T00:00:00.000Z","first":true,"versions":[{"version":"v1","last_seen":"2026-01-02T00:00:00.000Z"},{"version":"v2"}]}"`,
    );
});
