import { describe, expect, it } from "vitest";
import { StreamVersionTable } from "../../../src/decisions/versions/streamVersionTable.js";

const first = { service: "engines", version: "v1" };
const second = { service: "engines", version: "v2" };

describe("a record of a stream", () => {
    it("expires when the stream can no longer be resumed", () => {
        const table = new StreamVersionTable();
        table.record({ key: "a", began: first, leftMs: 1_000 }, 0);
        expect([table.find("a", 999)?.began, table.find("a", 1_000)]).toEqual([first, undefined]);
    });

    // A caller that uses an id twice would otherwise have one stream continued at the version of the other.
    it("names no version if its id was used for streams of two versions", () => {
        const table = new StreamVersionTable();
        table.record({ key: "a", began: first, leftMs: 1_000 }, 0);
        table.record({ key: "a", began: second, leftMs: 1_000 }, 0);
        table.record({ key: "a", began: second, leftMs: 1_000 }, 0);
        expect(table.find("a", 1)).toEqual({ key: "a", began: undefined, leftMs: 999 });
    });

    // Callers choose the ids; without a bound the table would exhaust the memory.
    it("is evicted if too many streams are recorded later", () => {
        const table = new StreamVersionTable();
        for (let index = 0; index < 30_000; index++) {
            table.record({ key: String(index), began: first, leftMs: 60_000 }, 0);
        }
        expect([table.find("0", 1), table.listAll(1).length]).toEqual([undefined, 20_000]);
    });
});
