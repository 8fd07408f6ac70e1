import { describe, expect, it } from "vitest";
import { VersionHistory } from "../../../src/decisions/versions/versionHistory.js";

const periodMs = 10_000;

describe("the versions seen within a period", () => {
    it("are incomplete until the period has been observed", () => {
        const history = new VersionHistory(0);
        history.addTarget("engines", "v1");
        const seen = [9_999, 10_000].map(nowMs => history.findSeen("engines", periodMs, nowMs).kind);
        expect(seen).toEqual(["incomplete", "sole"]);
    });

    // A stream that a target of the former version began can still be resumed when the last such target is gone.
    it("include a version whose last target has gone within the period", () => {
        const history = new VersionHistory(-periodMs);
        history.addTarget("engines", "v1");
        history.addTarget("engines", "v2");
        history.removeTarget("engines", "v1", 1_000);
        const seen = [11_000, 11_001].map(nowMs => history.findSeen("engines", periodMs, nowMs));
        expect(seen).toEqual([{ kind: "mixed" }, { kind: "sole", version: "v2" }]);
    });

    it("are mixed without any target", () => {
        expect(new VersionHistory(0).findSeen("engines", periodMs, periodMs)).toEqual({ kind: "mixed" });
    });
});
