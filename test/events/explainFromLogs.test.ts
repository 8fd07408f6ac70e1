import { describe, expect, it } from "vitest";
import { explainFromLogs, parseLogLines, renderLogExplanation } from "../../src/events/explainFromLogs.js";

/** A line as a collector stores it. */
function formatLine(daemon: string, timeMs: number, message: string, fields: object): string {
    return `collector-7 ${JSON.stringify({ context: { daemon, logLevel: 30, ...fields }, message, time: timeMs })}`;
}

const log = [
    formatLine("router-1", 1_000, "a target's state changed", { target: "engine-1", state: "draining" }),
    formatLine("router-1", 2_000, "the platform's store is lost", { topic: "targets", detail: "status 503" }),
    formatLine("router-2", 2_100, "the platform's store is lost", { topic: "targets", detail: "status 503" }),
    formatLine("router-1", 2_500, "a target is gone", { target: "engine-9" }),
    formatLine("router-1", 3_000, "request ended", {
        requestId: "r-1",
        route: "plan",
        outcome: "refused",
        reason: "late",
        target: "engine-1",
        tried: "",
        tookMs: 2,
        expectedMs: 900,
        tokensAhead: 33_000,
        shareUse: 0.2,
    }),
    "no line of ours",
    '{"context":{"daemon":"router-1"},"mess',
].join("\n");

describe("a request explained from log files", () => {
    // An engineer has a request's id and the files of all routers; the routers themselves may be gone by now.
    it("shows its cause, its own lines, and what its router had come to believe", () => {
        const explanation = explainFromLogs(parseLogLines(log), "r-1");
        expect(explanation && renderLogExplanation(explanation)).toMatchInlineSnapshot(`
          [
            "r-1: refused: the engines had too much to read for it to be in time; it did not run (expected 900 ms behind 33000 prompt tokens, share used 0.2)",
            "its own lines:",
            "  1970-01-01T00:00:03.000Z router-1: request ended requestId=r-1 route=plan outcome=refused reason=late target=engine-1 tried= tookMs=2 expectedMs=900 tokensAhead=33000 shareUse=0.2",
            "what its router came to believe around that time:",
            "  1970-01-01T00:00:01.000Z router-1: a target's state changed target=engine-1 state=draining",
            "  1970-01-01T00:00:02.000Z router-1: the platform's store is lost topic=targets detail=status 503",
          ]
        `);
    });

    it("is undefined when no line names it", () => {
        expect(explainFromLogs(parseLogLines(log), "r-2")).toBeUndefined();
    });
});
