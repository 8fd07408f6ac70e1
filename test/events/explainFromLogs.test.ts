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

    // A caller complains of a stream that stood still, another one of a late beginning; both got their whole answer.
    it("says by what a whole answer was late", () => {
        const fields = {
            outcome: "answered",
            target: "engine-1",
            tried: "engine-1:answered",
            tookMs: 900,
            expectedMs: 300,
            newTokens: 4_000,
            objectiveMs: 800,
            pauseObjectiveMs: 400,
        };
        const lines = parseLogLines(
            [
                { requestId: "r-2", timeliness: "late-pause", firstOutputMs: 80, longestPauseMs: 430 },
                { requestId: "r-3", timeliness: "late-first-output", firstOutputMs: 850, longestPauseMs: 20 },
                { requestId: "r-4", timeliness: "in-time", firstOutputMs: 80, longestPauseMs: 20 },
            ]
                .map(changes => formatLine("router-1", 4_000, "request ended", { ...fields, ...changes }))
                .join("\n"),
        );
        expect(["r-2", "r-3", "r-4"].map(id => explainFromLogs(lines, id)?.cause)).toMatchInlineSnapshot(`
          [
            "answered by engine-1 (tried engine-1:answered), late: a pause of 430 ms for 400, as its engine read other prompts or stood still",
            "answered by engine-1 (tried engine-1:answered), late: first output after 850 ms for 800 (expected 300; 4000 prompt tokens to read, 0 to copy)",
            "answered by engine-1 (tried engine-1:answered)",
          ]
        `);
    });

    // One of an account's prompts is refused while its routers' single lines are limited to a rate.
    it("says what refused it and what became of its account's requests, but not of those of others", () => {
        const own = { requestId: "r-5", account: "north", outcome: "refused", reason: "over-share", tookMs: 41 };
        const lines = parseLogLines(
            [
                formatLine("router-1", 4_000, "request ended", { ...own, decidedBy: "beliefs", decisionMs: 40 }),
                formatLine("router-1", 4_500, "accounts with refused requests", {
                    accounts: "north read=9; south read=8",
                }),
                formatLine("router-1", 5_500, "accounts with refused requests", { accounts: "south read=8" }),
            ].join("\n"),
        );
        const explanation = explainFromLogs(lines, "r-5");
        expect([explanation?.cause, explanation?.around.map(line => line.timeMs)]).toMatchInlineSnapshot(`
          [
            "refused: its client account had had its fair share, and others were waiting; it did not run (expected undefined ms behind undefined prompt tokens, share used undefined; decided by the router's own beliefs, as no owner answered, 40 ms after it came)",
            [
              4500,
            ],
          ]
        `);
    });

    it("is undefined when no line names it", () => {
        expect(explainFromLogs(parseLogLines(log), "r-2")).toBeUndefined();
    });
});
