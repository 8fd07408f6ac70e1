import { describe, expect, it } from "vitest";
import { listBreaches, type Line } from "./historyFixtures.js";

const club = { clientAccount: "club", service: "chat" };
const department = { clientAccount: "department", service: "chat" };
const r1 = { requestId: "r1", ...club };
const r2 = { requestId: "r2", ...club };
const t1 = { target: "t1" };

describe("at-most-once", () => {
    const run = (wallMs: number, target: string, requestId: string): Line => [
        wallMs,
        target,
        "target-run",
        { target, requestId, digest: "key-a" },
    ];

    it("reports a key that ran at two targets", () => {
        const lines: Line[] = [
            [1, "router-1", "request-accepted", r1],
            [2, "router-2", "request-accepted", r2],
            run(3, "t1", "r1"),
            run(4, "t2", "r2"),
        ];
        expect(listBreaches(lines)).toMatchInlineSnapshot(`
          [
            "at-most-once: the key with digest key-a ran 2 times [t1 target-run, t2 target-run]",
          ]
        `);
    });

    it("accepts one run that two requests share, and the same text of another account", () => {
        const lines: Line[] = [
            [1, "router-1", "request-accepted", r1],
            [2, "router-2", "request-accepted", r2],
            [2, "router-2", "request-accepted", { requestId: "r3", ...department }],
            run(3, "t1", "r1"),
            [4, "agent-t1", "key-replayed", r2],
            run(5, "t2", "r3"),
        ];
        expect(listBreaches(lines)).toEqual([]);
    });
});

describe("not-run-is-true", () => {
    it("reports a refused request that ran, and one handed back after its start", () => {
        const lines: Line[] = [
            [1, "router-1", "request-accepted", r1],
            [2, "t1", "target-run", { ...t1, requestId: "r1" }],
            [3, "router-1", "request-refused", { ...r1, execution: "not-run" }],
            [4, "agent-t1", "request-queued", r2],
            [5, "agent-t1", "request-started", r2],
            [6, "agent-t1", "request-withdrawn", { ...r2, execution: "not-run" }],
        ];
        expect(listBreaches(lines)).toMatchInlineSnapshot(`
          [
            "not-run-is-true: r1 was refused as not run, and ran [router-1 request-refused, t1 target-run]",
            "not-run-is-true: agent-t1 handed r2 back as never started, and had started it [agent-t1 request-started, agent-t1 request-withdrawn]",
          ]
        `);
    });

    it("accepts a request that one agent refuses and another runs, and an honest unknown", () => {
        const lines: Line[] = [
            [1, "router-1", "request-accepted", r1],
            [2, "agent-t1", "request-queued", r1],
            [3, "agent-t1", "request-withdrawn", { ...r1, execution: "not-run" }],
            [4, "agent-t2", "request-refused", { ...r1, execution: "not-run" }],
            [5, "agent-t1", "request-queued", r1],
            [6, "agent-t1", "request-started", r1],
            [7, "t1", "target-run", { ...t1, requestId: "r1" }],
            [8, "router-1", "request-refused", { ...r1, execution: "unknown" }],
        ];
        expect(listBreaches(lines)).toEqual([]);
    });
});

describe("whole-answers", () => {
    it("reports a short answer, another's answer, and a second answer", () => {
        const lines: Line[] = [
            [1, "agent-t1", "answer-sent", { ...r1, value: 3, digest: "d1" }],
            [2, "agent-t1", "answer-sent", { ...r2, value: 3, digest: "d2" }],
            [3, "router-1", "answer-delivered", { ...r1, value: 2, digest: "d1 cut" }],
            [4, "router-1", "answer-delivered", { ...r2, value: 3, digest: "d1" }],
            [5, "router-1", "answer-delivered", { ...r2, value: 3, digest: "d2" }],
        ];
        expect(listBreaches(lines)).toMatchInlineSnapshot(`
          [
            "whole-answers: r1 got an answer that no agent sent for it [agent-t1 answer-sent, router-1 answer-delivered]",
            "whole-answers: r2 was answered 2 times [router-1 answer-delivered, router-1 answer-delivered]",
            "whole-answers: r2 got an answer that no agent sent for it [agent-t1 answer-sent, router-1 answer-delivered]",
          ]
        `);
    });

    it("accepts the same answer at both ends, a replay, and an answer whose sender was killed", () => {
        const lines: Line[] = [
            [1, "agent-t1", "answer-sent", { ...r1, value: 3, digest: "d1" }],
            [2, "router-1", "answer-delivered", { ...r1, value: 3, digest: "d1" }],
            [3, "agent-t1", "key-replayed", r2],
            [4, "router-2", "answer-delivered", { ...r2, value: 3, digest: "d1" }],
            [5, "router-2", "answer-delivered", { requestId: "r3", ...club, value: 1, digest: "d3" }],
        ];
        expect(listBreaches(lines)).toEqual([]);
    });
});

describe("no-start-after-closure", () => {
    const close = (reason: string): Line => [1_000, "agent-t1", "phase-changed", { ...t1, reason }];
    const run = (wallMs: number): Line => [wallMs, "t1", "target-run", { ...t1, requestId: `r at ${wallMs}` }];

    it("reports starts beyond the bound after leave, out and drain", () => {
        const breaches = ["leaving", "out", "draining"].flatMap(reason => listBreaches([close(reason), run(4_500)]));
        expect(breaches).toMatchInlineSnapshot(`
          [
            "no-start-after-closure: t1 was given r at 4500 3500 ms after it was leaving [agent-t1 phase-changed, t1 target-run]",
            "no-start-after-closure: t1 was given r at 4500 3500 ms after it was out [agent-t1 phase-changed, t1 target-run]",
            "no-start-after-closure: t1 was given r at 4500 3500 ms after it was draining [agent-t1 phase-changed, t1 target-run]",
          ]
        `);
    });

    it("accepts starts within the bound, after the return, and after a restart", () => {
        expect(
            listBreaches([
                close("out"),
                run(3_900),
                [6_000, "agent-t1", "phase-changed", { ...t1, reason: "serving" }],
                run(6_100),
                [7_000, "agent-t1", "phase-changed", { ...t1, reason: "leaving" }],
                [11_000, "agent-t1/2", "daemon-started"],
                run(12_000),
            ]),
        ).toEqual([]);
    });
});

describe("cold-limit", () => {
    const run = (wallMs: number): Line => [wallMs, "t1", "target-run", { ...t1, requestId: `r${wallMs}` }];
    const end = (wallMs: number, of: number): Line => [wallMs, "t1", "request-ended", { ...t1, requestId: `r${of}` }];
    const cold: Line = [1_000, "t1", "target-cold", { ...t1, value: 2 }];

    it("reports the third at once, when two are all that the target bears", () => {
        expect(listBreaches([cold, run(4_000), run(4_001), run(4_002)])).toMatchInlineSnapshot(`
          [
            "cold-limit: t1 had 3 requests while cold, and bears 2 [t1 target-cold, t1 target-run]",
          ]
        `);
    });

    it("accepts as many one after the other, once warm, and before anyone can have noticed", () => {
        const warm: Line = [6_000, "t1", "target-warm", t1];
        const unnoticed = [cold, run(1_001), run(1_002), run(1_003)];
        expect(listBreaches([...unnoticed, end(2_000, 1_001), end(2_001, 1_002), run(4_000)])).toEqual([]);
        expect(listBreaches([cold, run(4_000), run(4_001), warm, run(6_001)])).toEqual([]);
    });
});

describe("bounded-gap", () => {
    const createRun = (wallMs: number, account: typeof club, id: string, cost: number): Line[] => [
        [wallMs, "agent-t1", "request-started", { ...account, requestId: id }],
        [wallMs + 1, "agent-t1", "request-ended", { ...account, requestId: id, value: cost }],
    ];
    const accept = (account: typeof club, id: string): Line => [
        1,
        "router-1",
        "request-accepted",
        { ...account, requestId: id },
    ];
    const backlog = ["a", "b", "c", "d"].flatMap(name => [accept(club, `c${name}`), accept(department, `d${name}`)]);

    it("reports an account that is served over and over while another waits", () => {
        const runs = ["a", "b", "c"].flatMap((name, index) => createRun(10 * (index + 1), department, `d${name}`, 400));
        expect(listBreaches([...backlog, ...runs], { gap: 1_000 })).toMatchInlineSnapshot(`
          [
            "bounded-gap: chat: club and department came 1200 apart while both were backlogged [router-1 request-accepted, agent-t1 request-started]",
          ]
        `);
    });

    it("accepts turns, unequal weights, and any lead over an account that has nothing to do", () => {
        const turns = [...createRun(10, department, "da", 400), ...createRun(20, club, "ca", 400)];
        const more = [...createRun(30, department, "db", 400), ...createRun(40, club, "cb", 400)];
        expect(listBreaches([...backlog, ...turns, ...more], { gap: 500 })).toEqual([]);
        const heavy = ["a", "b", "c"].flatMap((name, index) =>
            createRun(10 * (index + 1), department, `d${name}`, 400),
        );
        expect(listBreaches([...backlog, ...heavy], { gap: 200, weights: { department: 10 } })).toEqual([]);
        const alone = backlog.filter(line => line[3]?.clientAccount === "department");
        expect(
            listBreaches([accept(club, "ca"), ...createRun(2, club, "ca", 1), ...alone, ...heavy], { gap: 500 }),
        ).toEqual([]);
    });
});

describe("no-starvation", () => {
    it("reports a request that waits beyond the bound, and accepts one that starts, and one whose router died", () => {
        const accepted: Line = [1, "router-1", "request-accepted", r1];
        const later: Line = [61_000, "router-1", "document-accepted", { value: 1 }];
        expect(listBreaches([accepted, later])).toMatchInlineSnapshot(`
          [
            "no-starvation: r1 of club had neither started nor ended after 60000 ms [router-1 request-accepted]",
          ]
        `);
        expect(listBreaches([accepted, [50_000, "agent-t1", "request-started", r1], later])).toEqual([]);
        expect(listBreaches([accepted, [61_000, "router-1/2", "daemon-started"]])).toEqual([]);
    });
});

describe("document-offset", () => {
    const accept = (wallMs: number, daemon: string, value: number): Line => [
        wallMs,
        daemon,
        "document-accepted",
        { value },
    ];
    const start: Line[] = [
        [0, "router-1", "daemon-started"],
        [0, "agent-t1", "daemon-started"],
    ];

    it("reports a daemon that goes back, and one that is late", () => {
        const lines = [...start, accept(10, "router-1", 4), accept(12, "agent-t1", 4), accept(1_000, "router-1", 7)];
        const more: Line[] = [accept(1_500, "router-1", 5), accept(7_000, "agent-t1", 7)];
        expect(listBreaches([...lines, ...more])).toMatchInlineSnapshot(`
          [
            "document-offset: router-1 went from offset 7 to 5 [router-1 document-accepted, router-1 document-accepted]",
            "document-offset: agent-t1 did not have offset 7 in force within 5000 ms [router-1 document-accepted, agent-t1 daemon-started]",
            "document-offset: agent-t1 did not have offset 5 in force within 5000 ms [router-1 document-accepted, agent-t1 daemon-started]",
          ]
        `);
    });

    it("accepts all in time, a daemon that was cut off, and one that stops", () => {
        const lines = [...start, accept(10, "router-1", 4), accept(12, "agent-t1", 4), accept(1_000, "router-1", 7)];
        const late = accept(9_000, "agent-t1", 7);
        expect(listBreaches([...lines, accept(5_900, "agent-t1", 7)])).toEqual([]);
        expect(
            listBreaches([...lines, late], { isolations: [{ daemon: "agent-t1", fromMs: 500, toMs: 8_000 }] }),
        ).toEqual([]);
        expect(
            listBreaches([...lines, [2_000, "agent-t1", "daemon-stopping"], [9_000, "agent-t1", "daemon-stopped"]]),
        ).toEqual([]);
    });
});

describe("planned-stop", () => {
    it("reports what a stop cut off at a router and at an agent", () => {
        const lines: Line[] = [
            [1, "router-1", "request-accepted", r1],
            [2, "router-1", "request-accepted", r2],
            [3, "agent-t1", "request-started", { requestId: "r3", ...club }],
            [4, "router-1", "daemon-stopping"],
            [5, "router-1", "request-refused", { ...r2, reason: "stopping", execution: "unknown" }],
            [6, "router-1", "daemon-stopped"],
            [7, "agent-t1", "daemon-stopped"],
        ];
        expect(listBreaches(lines)).toMatchInlineSnapshot(`
          [
            "planned-stop: router-1 stopped and cut off r1 [router-1 request-accepted, router-1 daemon-stopped]",
            "planned-stop: router-1 stopped and cut off r2 [router-1 request-refused, router-1 daemon-stopped]",
            "planned-stop: agent-t1 stopped and cut off r3 [agent-t1 request-started, agent-t1 daemon-stopped]",
          ]
        `);
    });

    it("accepts a stop that waits for its answers and refuses the rest as not run", () => {
        const lines: Line[] = [
            [1, "router-1", "request-accepted", r1],
            [2, "router-1", "request-accepted", r2],
            [3, "agent-t1", "request-started", r1],
            [4, "router-1", "daemon-stopping"],
            [5, "router-1", "request-refused", { ...r2, reason: "stopping", execution: "not-run" }],
            [6, "agent-t1", "request-ended", r1],
            [7, "router-1", "answer-delivered", r1],
            [8, "router-1", "daemon-stopped"],
            [9, "agent-t1", "daemon-stopped"],
        ];
        expect(listBreaches(lines)).toEqual([]);
    });
});
