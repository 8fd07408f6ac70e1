import { describe, expect, it } from "vitest";
import { explainRequest, renderExplanation } from "../../src/events/explainRequest.js";
import { defaultHistoryBounds } from "../../src/events/historyChecker.js";
import { mergeTimeline } from "../../src/events/mergeTimeline.js";
import { renderHtml } from "../../src/events/renderHtml.js";
import { renderText } from "../../src/events/renderText.js";
import { createEvents, type Line } from "./historyFixtures.js";

const request = { requestId: "r1", clientAccount: "club", service: "chat" };
const origin = Date.parse("2026-01-01T00:00:00Z");
const lines: Line[] = [
    [origin, "router-1", "request-accepted", request],
    [origin, "router-1", "request-queued", request],
    [origin + 1, "router-1", "request-sent", { ...request, target: "t1", value: 1 }],
    [origin + 3, "agent-t1", "request-queued", { ...request, target: "t1", reason: "short", value: 120 }],
    [
        origin + 40,
        "agent-t1",
        "request-withdrawn",
        { ...request, target: "t1", reason: "draining", execution: "not-run" },
    ],
    [origin + 42, "router-1", "request-sent", { ...request, target: "t2", value: 2 }],
    [
        origin + 45,
        "agent-t2",
        "request-started",
        { ...request, requestId: "r1~2", target: "t2", reason: "short", value: 3 },
    ],
    [
        origin + 90,
        "agent-t2",
        "request-ended",
        { ...request, requestId: "r1~2", target: "t2", reason: "completed", value: 88.04 },
    ],
    [origin + 91, "router-1", "answer-delivered", { ...request, value: 12 }],
    [
        origin + 95,
        "router-2",
        "request-refused",
        { ...request, requestId: "r2", reason: "queue-full", execution: "not-run" },
    ],
];
const events = createEvents(lines);

describe("mergeTimeline", () => {
    it("merges pages that overlap, in any order, and tells what is missing", () => {
        const merged = mergeTimeline([events.slice(5), events.slice(2, 7), events.slice(0, 1)]);
        expect(merged.events.map(event => `${event.daemon} ${event.sequence}`)).toMatchInlineSnapshot(`
          [
            "router-1 1",
            "router-1 3",
            "agent-t1 1",
            "agent-t1 2",
            "router-1 4",
            "agent-t2 1",
            "agent-t2 2",
            "router-1 5",
            "router-2 1",
          ]
        `);
        expect(merged.gaps).toMatchInlineSnapshot(`
          [
            {
              "daemon": "router-1",
              "firstSequence": 2,
              "incarnation": 1,
              "lastSequence": 2,
            },
          ]
        `);
        expect(renderText(mergeTimeline([events.slice(8)]))).toMatchInlineSnapshot(`
          [
            "(4 events of router-1, incarnation 1, are no longer kept)",
            "2026-01-01T00:00:00.091Z.00  router-1  answer-delivered  request=r1  account=club  service=chat  value=12",
            "2026-01-01T00:00:00.095Z.00  router-2  request-refused  request=r2  account=club  service=chat  execution=not-run  reason=queue-full",
          ]
        `);
    });
});

describe("explainRequest", () => {
    it("tells the way of a request over its attempts, and what is not known", () => {
        const timeline = mergeTimeline([events]);
        const explanation = explainRequest(timeline, "r1");
        expect(explanation && renderExplanation(explanation)).toMatchInlineSnapshot(`
          [
            "r1: account club, service chat, from 2026-01-01T00:00:00.000Z.00",
            "       +0 ms  router-1  took the request from its caller: within the limits, and expected to start in time",
            "       +0 ms  router-1  put it into the account's backlog until an agent has room",
            "       +1 ms  router-1  offered it to the agent of t1 (attempt 1)",
            "       +3 ms  agent-t1  queued it for t1 as short work, estimated cost 120",
            "      +40 ms  agent-t1  gave it back, never started here (draining)",
            "      +42 ms  router-1  offered it to the agent of t2 (attempt 2)",
            "      +45 ms  agent-t2  started it at t2: its account had had the least service for its weight; 3 running there",
            "      +90 ms  agent-t2  ended with completed, cost 88.04",
            "      +91 ms  router-1  gave the caller the whole answer, 12 chunks",
          ]
        `);
        expect(explainRequest(mergeTimeline([events.slice(0, 3)]), "r1")?.notes).toMatchInlineSnapshot(`
          [
            "no event ends it: it is still open, or the process that held it is gone",
          ]
        `);
        expect(explainRequest(timeline, "r3")).toBeUndefined();
    });
});

describe("renderHtml", () => {
    // A caller chooses a name that is markup; the operator who opens the page must not run it.
    it("shows names as text", () => {
        const evil = createEvents([[1, "<img src=x>", "request-accepted", { ...request, clientAccount: "<script>" }]]);
        const page = renderHtml(mergeTimeline([evil]), defaultHistoryBounds);
        expect([page.includes("<img"), page.includes("<script"), page.includes("&#60;script&#62;")]).toEqual([
            false,
            false,
            true,
        ]);
    });
});
