import { describe, expect, it } from "vitest";
import { AvailabilityRegistry } from "../../../src/decisions/health/availabilityRegistry.js";

const idHash = 7;

/** Whether each record applies, for records in the order in which they are read: start time, time of the read, from an older copy or not. */
function listApplied(records: readonly (readonly [startedAtMs: number, readAtMs: number, source?: "copy"])[]): string {
    const registry = new AvailabilityRegistry();
    return records
        .map(([startedAtMs, readAtMs, source]) => {
            const mayBeOutdated = source === "copy";
            return registry.recordStart({ idHash, startedAtMs, readAtMs, mayBeOutdated }) ? startedAtMs : "ignored";
        })
        .join(" ");
}

describe("a record of another start of a target", () => {
    it("is that of a restart, also if the target's clock was set back", () => {
        expect(
            listApplied([
                [100, 0],
                [200, 1],
                [150, 2],
                [150, 3],
            ]),
        ).toBe("100 200 150 150");
    });

    it("is ignored if its start has been followed by another one", () => {
        expect(
            listApplied([
                [100, 0],
                [200, 1],
                [100, 2, "copy"],
                [100, 3],
                [200, 4],
            ]),
        ).toBe("100 200 ignored ignored 200");
    });

    // A router that has started after a restart does not know the start before. It took the older copy's record for a newer start, and
    // ignored all records of the running target until its own process ended.
    it("is ignored if it may be from an older copy and is the earlier one", () => {
        expect(
            listApplied([
                [200, 0],
                [100, 1, "copy"],
                [200, 2],
                [200, 9_000],
            ]),
        ).toBe("200 ignored 200 200");
    });

    it("is that of a restart if it may be from an older copy and is the later one", () => {
        expect(
            listApplied([
                [100, 0],
                [200, 1, "copy"],
                [200, 2],
            ]),
        ).toBe("100 200 200");
    });

    // A write of an earlier start that the store executes late must not hide a running target for good.
    it("applies again once only records of its start have been read for seconds", () => {
        expect(
            listApplied([
                [200, 0],
                [100, 1],
                [200, 1_000],
                [200, 3_000],
                [200, 5_999],
                [200, 6_000],
                [200, 7_000],
            ]),
        ).toBe("200 100 ignored ignored ignored 200 200");
    });

    it("does not apply again as long as records of the current start are read as well", () => {
        expect(
            listApplied([
                [100, 0],
                [200, 1],
                [100, 1_000],
                [200, 4_000],
                [100, 7_000],
                [100, 11_000],
                [100, 12_000],
            ]),
        ).toBe("100 200 ignored 200 ignored ignored 100");
    });
});
