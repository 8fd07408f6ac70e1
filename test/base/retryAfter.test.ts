import { expect, it } from "vitest";
import { decodeRetryAfter, type RetryAfter } from "../../src/base/retryAfter.js";

const now = new Date("2026-01-01T00:00:00Z");
const date = "Thu, 01 Jan 2026 00:00:10 GMT";
const laterDate = "Thu, 01 Jan 2026 00:00:25 GMT";

function describeDecoded(header: string | readonly string[] | undefined, dateHeader?: string): string {
    const decoded: RetryAfter = decodeRetryAfter(header, dateHeader, now);
    return `${JSON.stringify(header)}, ${dateHeader}: ${decoded.kind === "wait" ? `${decoded.ms} ms` : decoded.kind}`;
}

it("decodes seconds", () => {
    const values = [undefined, "2", " 0.25 ", "0", "-1", "", "1e3", "99999999999999", ["1", "3", "2"], ["soon", "3"]];
    expect(values.map(value => describeDecoded(value))).toMatchInlineSnapshot(`
      [
        "undefined, undefined: none",
        ""2", undefined: 2000 ms",
        "" 0.25 ", undefined: 250 ms",
        ""0", undefined: 0 ms",
        ""-1", undefined: unreadable",
        """, undefined: unreadable",
        ""1e3", undefined: unreadable",
        ""99999999999999", undefined: 99999999999999000 ms",
        "["1","3","2"], undefined: 3000 ms",
        "["soon","3"], undefined: 3000 ms",
      ]
    `);
});

it("decodes dates, by the answer's own date where it has one", () => {
    const decoded = [
        describeDecoded(laterDate),
        describeDecoded(laterDate, date),
        describeDecoded(date, laterDate),
        describeDecoded(laterDate, "yesterday"),
        describeDecoded("Thu, 99 Foo", date),
    ];
    expect(decoded).toMatchInlineSnapshot(`
      [
        ""Thu, 01 Jan 2026 00:00:25 GMT", undefined: 25000 ms",
        ""Thu, 01 Jan 2026 00:00:25 GMT", Thu, 01 Jan 2026 00:00:10 GMT: 15000 ms",
        ""Thu, 01 Jan 2026 00:00:10 GMT", Thu, 01 Jan 2026 00:00:25 GMT: 0 ms",
        ""Thu, 01 Jan 2026 00:00:25 GMT", yesterday: 25000 ms",
        ""Thu, 99 Foo", Thu, 01 Jan 2026 00:00:10 GMT: unreadable",
      ]
    `);
});
