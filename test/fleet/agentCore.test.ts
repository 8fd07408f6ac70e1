import { describe, expect, it } from "vitest";
import type { AgentCore } from "../../src/fleet/agent/agentCore.js";
import type { RunOutcome } from "../../src/fleet/agentMessages.js";
import type { WorkRequest } from "../../src/fleet/entities.js";
import {
    createAgent,
    createDocument,
    createRequest,
    createWarmAgent,
    formatEffects,
    ListRecorder,
} from "./agentFixtures.js";

const offer = (agent: AgentCore, id: string, nowMs: number, changes: Partial<WorkRequest> = {}): readonly string[] =>
    formatEffects(
        agent.handle(
            { type: "workOffered", request: createRequest(id, { arrivedAtMs: nowMs, ...changes }), routerId: "r1" },
            nowMs,
        ),
    );

const end = (agent: AgentCore, id: string, nowMs: number, outcome: RunOutcome = "completed"): readonly string[] =>
    formatEffects(
        agent.handle({ type: "runEnded", requestId: id, outcome, promptTokens: 100, generatedTokens: 100 }, nowMs),
    );

describe("AgentCore", () => {
    it("starts nothing before a document, and no more than the cold limit before the target is known to be warm", () => {
        const recorder = new ListRecorder();
        const agent = createAgent(recorder);
        const early = offer(agent, "early", 0);
        agent.handle({ type: "documentAccepted", offset: 1, document: createDocument() }, 10);
        const started = ["a", "b", "c", "d"].flatMap(id => offer(agent, id, 20));
        expect({ early, started }).toMatchInlineSnapshot(`
          {
            "early": [
              "refused early draining not-run -",
            ],
            "started": [
              "start a",
              "start b",
            ],
          }
        `);
        expect(recorder.events.map(event => `${event.kind} ${event.requestId ?? ""} ${event.reason ?? ""}`))
            .toMatchInlineSnapshot(`
          [
            "request-refused early draining",
            "window-changed  limits",
            "phase-changed  serving",
            "request-queued a short",
            "request-started a short",
            "request-queued b short",
            "request-started b short",
            "request-queued c short",
            "request-queued d short",
          ]
        `);
    });

    it("gives a freed slot to the account with the least service over weight", () => {
        const agent = createWarmAgent({ weights: { department: 2, club: 1 }, maxConcurrent: 1, coldLimit: 1 });
        const order: string[] = [];
        const note = (effects: readonly string[]): void => {
            order.push(...effects.filter(effect => effect.startsWith("start")));
        };
        for (let index = 0; index < 8; index += 1) {
            note(offer(agent, `department-${index}`, 5_000));
            note(offer(agent, `club-${index}`, 5_000, { clientAccount: "club" }));
        }
        for (let step = 0; step < 8; step += 1) {
            note(end(agent, (order[order.length - 1] ?? "").replace("start ", ""), 5_100 + step * 100));
        }
        expect(order).toMatchInlineSnapshot(`
          [
            "start department-0",
            "start club-0",
            "start department-1",
            "start department-2",
            "start club-1",
            "start department-3",
            "start department-4",
            "start club-2",
            "start department-5",
          ]
        `);
    });

    // The caller sees: nothing of the stop. A data centre is taken out while requests wait and run: those that wait are
    // handed back at once as never started, new ones are refused, those that run go on to their end.
    it("hands everything back that waits when its data centre is taken out, and serves again when it is back", () => {
        const agent = createWarmAgent({ maxConcurrent: 1, coldLimit: 1 });
        const before = [...offer(agent, "a", 5_000), ...offer(agent, "b", 5_000)];
        const out = createDocument({ maxConcurrent: 1, coldLimit: 1, dataCentreState: "out" });
        const taken = formatEffects(agent.handle({ type: "documentAccepted", offset: 2, document: out }, 5_100));
        const during = [...offer(agent, "c", 5_200), ...end(agent, "a", 5_300)];
        // A late copy of the document from before must not bring the data centre back.
        agent.handle({ type: "documentAccepted", offset: 1, document: createDocument() }, 5_400);
        const stale = offer(agent, "d", 5_400);
        agent.handle({ type: "documentAccepted", offset: 3, document: createDocument() }, 6_000);
        const after = offer(agent, "b", 6_000);
        agent.handle({ type: "leaving" }, 6_100);
        const leaving = offer(agent, "e", 6_100);
        expect({ before, taken, during, stale, after, leaving }).toMatchInlineSnapshot(`
          {
            "after": [
              "start b",
            ],
            "before": [
              "start a",
            ],
            "during": [
              "refused c draining not-run -",
            ],
            "leaving": [
              "refused e stopping not-run -",
            ],
            "stale": [
              "refused d draining not-run -",
            ],
            "taken": [
              "withdrawn b",
            ],
          }
        `);
    });

    // The caller sees: its request runs once. The router withdraws a request and moves it on, while the offer is still
    // under way to the first agent; the offer arrives after the withdrawal and must not start.
    it("never starts an offer that its withdrawal has overtaken, and tells the truth about started ones", () => {
        const agent = createWarmAgent({ maxConcurrent: 1, coldLimit: 1 });
        const withdraw = (requestId: string, incarnation?: number): readonly string[] =>
            formatEffects(agent.handle({ type: "withdrawRequested", requestId, incarnation }, 5_000));
        expect({
            unseen: withdraw("late"),
            late: offer(agent, "late", 5_000),
            chosenAgain: offer(agent, "late", 5_000),
            running: withdraw("late"),
            queued: [...offer(agent, "b", 5_000), ...withdraw("b")],
            ended: [...end(agent, "late", 5_100), ...withdraw("late")],
            otherIncarnation: withdraw("unknown", 0),
        }).toMatchInlineSnapshot(`
          {
            "chosenAgain": [
              "start late",
            ],
            "ended": [
              "kept late",
            ],
            "late": [
              "refused late duplicate not-run -",
            ],
            "otherIncarnation": [
              "kept unknown",
            ],
            "queued": [
              "withdrawn b",
            ],
            "running": [
              "kept late",
            ],
            "unseen": [
              "withdrawn late",
            ],
          }
        `);
    });

    // The caller sees: "not run" only when that is known. The agent starts more requests than it can remember; asked for one
    // that it may have forgotten, it must not say that it never started.
    it("does not call an unknown request withdrawn while it may have forgotten one", () => {
        const agent = createAgent(new ListRecorder(), 1, { maxStartedIds: 16 });
        agent.handle({ type: "documentAccepted", offset: 1, document: createDocument() }, 0);
        const answers: string[] = [];
        for (let index = 0; index < 40; index += 1) {
            offer(agent, `r${index}`, index);
            end(agent, `r${index}`, index);
            const [answer = ""] = formatEffects(agent.handle({ type: "withdrawRequested", requestId: "r0" }, index));
            answers.push(answer);
        }
        const hourLater = formatEffects(agent.handle({ type: "withdrawRequested", requestId: "new" }, 3_700_000));
        expect([new Set(answers), hourLater]).toEqual([new Set(["kept r0"]), ["withdrawn new"]]);
    });

    it("cancels a run whose caller left, but lets a non-idempotent one with a key run on", () => {
        const agent = createWarmAgent();
        const cancel = (requestId: string): readonly string[] =>
            formatEffects(agent.handle({ type: "workCancelled", requestId }, 5_000));
        offer(agent, "plan", 5_000);
        offer(agent, "booking", 5_000, { service: "bookings", idempotent: false, idempotencyKey: "k1" });
        expect([...cancel("plan"), ...cancel("plan"), ...cancel("booking")]).toMatchInlineSnapshot(`
          [
            "cancel plan",
          ]
        `);
    });

    it("refuses what has waited to its deadline, and sleeps until then", () => {
        const agent = createWarmAgent({ maxConcurrent: 1, coldLimit: 1 });
        offer(agent, "a", 5_000);
        offer(agent, "b", 5_000, { deadlineAtMs: 7_000 });
        expect([agent.nextTickAtMs(), formatEffects(agent.tick(6_999)), formatEffects(agent.tick(7_000))])
            .toMatchInlineSnapshot(`
              [
                7000,
                [],
                [
                  "refused b deadline not-run 200",
                ],
              ]
            `);
        expect(agent.nextTickAtMs()).toBeUndefined();
    });

    it("charges the estimate at the start, more as it streams, and corrects at the end", () => {
        const agent = createWarmAgent({ weights: { department: 2 } });
        const charged = (): unknown => agent.createReport(undefined).counters[0];
        offer(agent, "a", 5_000);
        const atStart = charged();
        agent.handle({ type: "progressed", requestId: "a", tokens: 150 }, 5_100);
        const streaming = charged();
        end(agent, "a", 5_200);
        expect({ atStart, streaming, atEnd: charged() }).toMatchInlineSnapshot(`
          {
            "atEnd": {
              "charged": 350,
              "clientAccount": "department",
              "lift": 0,
              "refunded": 100,
              "service": "planner",
            },
            "atStart": {
              "charged": 250,
              "clientAccount": "department",
              "lift": 0,
              "refunded": 0,
              "service": "planner",
            },
            "streaming": {
              "charged": 350,
              "clientAccount": "department",
              "lift": 0,
              "refunded": 0,
              "service": "planner",
            },
          }
        `);
        const acknowledged = agent.createReport(undefined).sequence;
        expect(agent.createReport(acknowledged).counters).toEqual([]);
    });

    // The callers see: shares that count what a restarted agent gave. A router has acknowledged many reports of the agent's
    // earlier incarnation; the new one charges before the first exchange and must not take that number for its own.
    it("tells all its counters to a router that has acknowledged an earlier incarnation only", () => {
        const old = createWarmAgent();
        const acknowledged = Array.from({ length: 20 }, () => old.createReport(undefined).sequence).pop();
        const agent = createAgent(new ListRecorder(), 1_000_000);
        agent.handle({ type: "documentAccepted", offset: 1, document: createDocument() }, 0);
        offer(agent, "a", 10);
        const numbered = Array.from({ length: 30 }, () => agent.createBriefReport().sequence).pop();
        const counted = [acknowledged, numbered, Number.MAX_SAFE_INTEGER].map(
            sequence => agent.createReport(sequence).counters.length,
        );
        expect(counted).toEqual([1, 0, 1]);
    });
});
